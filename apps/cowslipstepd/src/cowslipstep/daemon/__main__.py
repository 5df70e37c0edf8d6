"""Entry point of the ``cowslipstepd`` command."""

from __future__ import annotations

import warnings

# Importing eventlet warns of its own state; other warnings are shown.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import pathlib  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from cowslipstep.daemon._daemon import run_daemon  # noqa: E402
from cowslipstep.daemon._listening import ListenError  # noqa: E402
from cowslipstep.daemon._logs import start_logging  # noqa: E402
from cowslipstep.settings import load_daemon_settings  # noqa: E402


def run(
    settings: Annotated[
        pathlib.Path,
        typer.Argument(help='settings file, JSON'),
    ],
) -> None:
    """Run a cowslipstep daemon."""
    try:
        loaded = load_daemon_settings(settings)
    except ExceptionGroup as group:
        for problem in group.exceptions:
            typer.echo(f'error: {problem}', err=True)
        raise typer.Exit(2) from None
    start_logging(loaded.log_level)
    try:
        run_daemon(loaded)
    except ListenError as error:
        typer.echo(f'error: {error}', err=True)
        raise typer.Exit(1) from None


def main() -> None:
    """Entry point of ``cowslipstepd``."""
    typer.run(run)


if __name__ == '__main__':
    main()
