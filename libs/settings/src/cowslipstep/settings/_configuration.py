"""Reading and checking the configuration document."""

from __future__ import annotations

import json
from typing import Any

from cowslipstep.model import Configuration
from cowslipstep.settings._converter import parse_json, structure, unstructure
from cowslipstep.settings._duplicates import duplicate_problems
from cowslipstep.settings._sizes import size_problems


def parse_configuration(text: str | bytes) -> Configuration:
    """Read and check a configuration from JSON text.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    return structure_configuration(parse_json(text))


def structure_configuration(document: Any) -> Configuration:
    """Check a decoded configuration document and return it.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    configuration = structure(document, Configuration)
    check_configuration(configuration)
    return configuration


def format_configuration(configuration: Configuration) -> str:
    """Return the JSON text of a configuration, indented for reading."""
    text = json.dumps(unstructure(configuration), indent=2)
    return f'{text}\n'


def check_configuration(configuration: Configuration) -> None:
    """Check what spans several fields.

    Raises
    ------
    ExceptionGroup
        Holds one ``DocumentError`` for each mistake.
    """
    problems = [
        *duplicate_problems(configuration),
        *size_problems(configuration),
    ]
    if problems:
        raise ExceptionGroup('invalid Configuration', problems)
