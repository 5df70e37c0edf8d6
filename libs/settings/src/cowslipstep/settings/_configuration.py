"""Reading and validation of the configuration document."""

from __future__ import annotations

import json
from typing import Any

from cowslipstep.model import Configuration
from cowslipstep.settings._consistency import consistency_errors
from cowslipstep.settings._converter import parse_json, structure, unstructure
from cowslipstep.settings._duplicates import duplicate_errors


def parse_configuration(text: str | bytes) -> Configuration:
    """Read and validate a configuration from JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    return structure_configuration(parse_json(text))


def structure_configuration(document: Any) -> Configuration:
    """Build a configuration from a decoded document and validate it.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    configuration = structure(document, Configuration)
    check_configuration(configuration)
    return configuration


def format_configuration(configuration: Configuration) -> str:
    """Return the JSON text of a configuration, indented."""
    text = json.dumps(unstructure(configuration), indent=2)
    return f'{text}\n'


def check_configuration(configuration: Configuration) -> None:
    """Validate what depends on several fields: uniqueness and consistency.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    errors = [
        *duplicate_errors(configuration),
        *consistency_errors(configuration),
    ]
    if errors:
        raise ExceptionGroup('invalid Configuration', errors)
