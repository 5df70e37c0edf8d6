"""Entry point of the ``cowslipstep`` command."""

from __future__ import annotations

import pathlib
import sys

import typer

from cowslipstep.model import Address, CowslipstepError
from cowslipstep.platform import ObjectKey, ObjectMissing, PlatformClient
from cowslipstep.settings import parse_configuration

_CONFIGURATION_KEY = ObjectKey('configuration', 'fleet')

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def describe() -> None:
    """Operate a cowslipstep fleet."""


@app.command()
def submit(document: pathlib.Path, platform: str = '127.0.0.1:9000') -> None:
    """Check a configuration document and submit it to the platform."""
    body = document.read_text()
    parse_configuration(body)
    client = PlatformClient(Address.parse(platform))
    try:
        stored = client.read(_CONFIGURATION_KEY)
    except ObjectMissing:
        version = client.create(_CONFIGURATION_KEY, body)
    else:
        version = client.update(_CONFIGURATION_KEY, stored.version, body)
    typer.echo(f'submitted version {version}')


def main() -> None:
    """Run the tool and print each error as one line."""
    try:
        app()
    except* (CowslipstepError, OSError) as group:
        for error in group.exceptions:
            typer.echo(f'error: {error}', err=True)
        sys.exit(1)


if __name__ == '__main__':
    main()
