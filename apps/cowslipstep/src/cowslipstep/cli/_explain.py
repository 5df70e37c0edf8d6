"""Commands ``explain group``, ``host``, ``request`` and ``config``."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Annotated

import click
import typer

from cowslipstep.cli._errors import ExitCode, UsageError
from cowslipstep.cli._explain_config import explain_config
from cowslipstep.cli._explain_groups import explain_group, explain_host
from cowslipstep.cli._explain_logs import explain_from_logs
from cowslipstep.cli._explain_request import explain_request
from cowslipstep.cli._explanations import Explanation
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
        help='file of daemon log lines; - for standard input; may be repeated',
    ),
]
NameArgument = Annotated[str, typer.Argument(metavar='NAME')]

explain = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help='Explain the state of a group, host or request, or show part of the '
    'configuration.',
)


@explain.command()
def group(
    name: NameArgument,
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Show whether a group serves, and which members prevent it.

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
    """Show the group of a host, the state that it reports, and its drain.

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
    """Show why the request of an id was refused, or has uncertain outcome.

    With --logs the history of the request is assembled from the log lines
    of the daemons, and the platform is not contacted.

    Exit codes: 0 found, 1 not among the refused and uncertain requests in
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

    Exit codes: 0 found, 1 nothing has that name, 4 platform does not
    answer.

    Example: cowslipstep explain config urgent
    """
    _show(explain_config(connect(platform), name), as_json=as_json)


def _read_lines(paths: Iterable[str]) -> Iterator[str]:
    for path in paths:
        try:
            # ``open_file`` returns standard input for a dash.
            with click.open_file(path, errors='replace') as stream:
                yield from stream
        except OSError as error:
            raise UsageError(f'--logs: {path}: {error.strerror}') from None


def _show(explanation: Explanation, *, as_json: bool) -> None:
    if as_json:
        print_json(explanation)
    else:
        print_lines([explanation.summary, *explanation.details])
    if not explanation.well:
        raise typer.Exit(ExitCode.failed)
