"""Commands ``explain group``, ``host``, ``request`` and ``config``."""

from __future__ import annotations

from typing import Annotated

import typer

from cowslipstep.cli._explain_config import explain_config
from cowslipstep.cli._explain_groups import explain_group, explain_host
from cowslipstep.cli._explain_request import explain_request
from cowslipstep.cli._explanations import Explanation
from cowslipstep.cli._exits import ExitCode
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines

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
    *,
    as_json: JsonOption = False,
) -> None:
    """Say why a request was refused, or is uncertain, by its X-Request-Id.

    Exit codes: 0 known, 1 not among the refused and uncertain requests in
    the status objects, 4 platform does not answer.

    Example: cowslipstep explain request 1f0c...
    """
    _show(explain_request(connect(platform), name), as_json=as_json)


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


def _show(explanation: Explanation, *, as_json: bool) -> None:
    if as_json:
        print_json(explanation)
    else:
        print_lines([explanation.summary, *explanation.details])
    if not explanation.well:
        raise typer.Exit(ExitCode.failed)
