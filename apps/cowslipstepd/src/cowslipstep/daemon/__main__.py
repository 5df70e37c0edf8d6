"""Entry point of the ``cowslipstepd`` command."""

from __future__ import annotations

import warnings

# Eventlet warns on import that it is deprecated; other warnings are shown.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()

import pathlib  # noqa: E402
from collections.abc import Iterable  # noqa: E402
from typing import Annotated, NoReturn  # noqa: E402

import typer  # noqa: E402

from cowslipstep.daemon._daemon import run_daemon  # noqa: E402
from cowslipstep.daemon._listening import ListenError  # noqa: E402
from cowslipstep.daemon._logs import start_logging  # noqa: E402
from cowslipstep.settings import (  # noqa: E402
    DaemonSettings,
    load_daemon_settings,
)

_EXIT_FAILURE = 1
_EXIT_USAGE_ERROR = 2


def run(
    settings: Annotated[
        pathlib.Path,
        typer.Argument(help='settings file, JSON'),
    ],
) -> None:
    """Run a cowslipstep daemon."""
    loaded = _load(settings)
    try:
        start_logging(loaded.log_level)
    except ValueError as error:
        _exit([error], _EXIT_USAGE_ERROR)
    try:
        run_daemon(loaded)
    except ListenError as error:
        _exit([error], _EXIT_FAILURE)


def _load(settings: pathlib.Path) -> DaemonSettings:
    try:
        return load_daemon_settings(settings)
    except ExceptionGroup as group:
        _exit(group.exceptions, _EXIT_USAGE_ERROR)


def _exit(errors: Iterable[Exception], code: int) -> NoReturn:
    """Print a line for each error and exit with ``code``."""
    for error in errors:
        typer.echo(f'error: {error}', err=True)
    raise typer.Exit(code) from None


def main() -> None:
    """Entry point of ``cowslipstepd``."""
    app = typer.Typer(
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
    )
    app.command()(run)
    app()


if __name__ == '__main__':
    main()
