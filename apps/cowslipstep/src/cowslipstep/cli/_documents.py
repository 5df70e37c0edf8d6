"""Configuration documents in files."""

from __future__ import annotations

import pathlib

from attrs import frozen

from cowslipstep.cli._exits import WrongUse
from cowslipstep.model import Configuration
from cowslipstep.settings import parse_configuration


@frozen
class CheckedDocument:
    """A document: its text as it stands in the file, and what it says."""

    text: str
    configuration: Configuration


def read_document(path: pathlib.Path) -> CheckedDocument:
    """Read and check a configuration document.

    Raises
    ------
    WrongUse
        If the file cannot be read.
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    try:
        raw = path.read_bytes()
    except OSError as error:
        raise WrongUse(f'cannot read {path}: {error.strerror}') from None
    configuration = parse_configuration(raw)
    return CheckedDocument(raw.decode(), configuration)
