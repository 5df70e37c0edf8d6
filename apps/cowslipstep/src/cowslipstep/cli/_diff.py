"""Command ``diff``."""

from __future__ import annotations

import typer
from attrs import frozen

from cowslipstep.cli._documents import read_document
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    DocumentArgument,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines
from cowslipstep.cli._stored_configuration import read_stored_configuration
from cowslipstep.operator import Change, list_changes


@frozen
class Difference:
    """Changes that a document would make to the configuration in force."""

    version: int
    changes: tuple[Change, ...]


def diff(
    document: DocumentArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Show what a document would change in the configuration in force.

    Exit codes: 0 shown, 2 wrong document, 4 platform does not answer.

    Example: cowslipstep diff fleet.json --platform 10.0.0.1:9000
    """
    checked = read_document(document)
    stored = read_stored_configuration(connect(platform))
    changes = list_changes(stored.configuration, checked.configuration)
    if as_json:
        print_json(Difference(stored.version, changes))
        return
    typer.echo(f'{len(changes)} changes to version {stored.version}')
    print_lines(f'  {change}' for change in changes)
