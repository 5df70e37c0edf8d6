"""Configuration documents in files."""

from __future__ import annotations

import pathlib

from attrs import frozen

from cowslipstep.cli._errors import UsageError
from cowslipstep.model import Configuration
from cowslipstep.settings import parse_configuration


@frozen
class CheckedDocument:
    """A valid document: the text of its file and the parsed configuration."""

    text: str
    configuration: Configuration


def read_document(path: pathlib.Path) -> CheckedDocument:
    """Read and validate a configuration document.

    Raises
    ------
    UsageError
        If the file cannot be read.
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise UsageError(f'cannot read {path}: {error.strerror}') from None
    configuration = parse_configuration(raw)
    return CheckedDocument(raw.decode(), configuration)
