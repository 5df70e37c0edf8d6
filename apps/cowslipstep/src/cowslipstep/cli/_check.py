"""Command ``check``."""

from __future__ import annotations

import typer
from attrs import frozen

from cowslipstep.cli._documents import read_document
from cowslipstep.cli._options import DocumentArgument, JsonOption
from cowslipstep.cli._output import print_json
from cowslipstep.model import Configuration


@frozen
class ConfigurationSizes:
    """Numbers of entries in the sections of a configuration."""

    ranks: int
    workspaces: int
    models: int
    runners: int
    services: int

    def __str__(self) -> str:
        return (
            f'{self.ranks} ranks, {self.workspaces} workspaces, '
            f'{self.models} models, {self.runners} runners, '
            f'{self.services} services'
        )


def check(document: DocumentArgument, *, as_json: JsonOption = False) -> None:
    """Validate a configuration document without contacting the platform.

    Each mistake is printed as one line with its path in the document. Exit
    codes: 0 valid, 2 invalid.

    Example: cowslipstep check fleet.json
    """
    sizes = _configuration_sizes(read_document(document).configuration)
    if as_json:
        print_json(sizes)
        return
    typer.echo(f'ok: {sizes}')


def _configuration_sizes(configuration: Configuration) -> ConfigurationSizes:
    return ConfigurationSizes(
        len(configuration.ranks),
        len(configuration.workspaces),
        len(configuration.models),
        len(configuration.runners),
        len(configuration.services),
    )
