"""Commands ``explain group``, ``host``, ``request`` and ``config``."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Annotated

import click
import typer

from cowslipstep.cli._explain_config import explain_config
from cowslipstep.cli._explain_groups import explain_group, explain_host
from cowslipstep.cli._explain_logs import explain_from_logs
from cowslipstep.cli._explain_request import explain_request
from cowslipstep.cli._explanations import Explanation
from cowslipstep.cli._exits import ExitCode, WrongUse
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines

LogsOption = Annotated[
    list[str] | None,
    typer.Option(
        '--logs',
        metavar='FILE',
        help='log lines of daemons; - for standard input; may be repeated',
    ),
]
NameArgument = Annotated[str, typer.Argument(metavar='NAME')]

explain = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help='Say why a group, host, request or part of the configuration is '
    'as it is.',
)


@explain.command()
def group(
    name: NameArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Say whether a group serves, and which member keeps it from that.

    Exit codes: 0 it serves, 1 it does not or is unknown, 4 platform does
    not answer.

    Example: cowslipstep explain group ebene-1
    """
    _show(explain_group(connect(platform), name), as_json=as_json)


@explain.command()
def host(
    name: NameArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Say what a host does: its group, its own word, its drain.

    Exit codes: 0 it serves, 1 it does not or is unknown, 4 platform does
    not answer.

    Example: cowslipstep explain host ebene-h3
    """
    _show(explain_host(connect(platform), name), as_json=as_json)


@explain.command()
def request(
    name: NameArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    logs: LogsOption = None,
    *,
    as_json: JsonOption = False,
) -> None:
    """Say why a request was refused, or is uncertain, by its id.

    With --logs its story is told from the log lines of the daemons, and
    the platform is not asked.

    Exit codes: 0 known, 1 not among the refused and uncertain requests in
    the status objects or not in the logs, 4 platform does not answer.

    Example: cowslipstep explain request 1f0c... --logs d1.log --logs d2.log
    """
    if logs:
        explanation = explain_from_logs(_read_lines(logs), name)
    else:
        explanation = explain_request(connect(platform), name)
    _show(explanation, as_json=as_json)


@explain.command()
def config(
    name: NameArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Show a rank, workspace, model, runner or service by its name.

    Exit codes: 0 known, 1 nothing has that name, 4 platform does not
    answer.

    Example: cowslipstep explain config urgent
    """
    _show(explain_config(connect(platform), name), as_json=as_json)


def _read_lines(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        try:
            # Standard input for a dash, as in other tools.
            with click.open_file(path, errors='replace') as stream:
                yield from stream
        except OSError as error:
            raise WrongUse(f'--logs: {path}: {error.strerror}') from None


def _show(explanation: Explanation, *, as_json: bool) -> None:
    if as_json:
        print_json(explanation)
    else:
        print_lines([explanation.summary, *explanation.details])
    if not explanation.well:
        raise typer.Exit(ExitCode.failed)
