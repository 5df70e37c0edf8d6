"""Command ``top``."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Annotated

import typer

from cowslipstep.cli._exits import Unreachable
from cowslipstep.cli._fleet import read_live
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines, table
from cowslipstep.cli._rates import Load, read_loads
from cowslipstep.platform import PlatformClient

_MIN_PERIOD_S = 0.2
_CLEAR = '\033[H\033[2J'
_HEAD = ('workspace', 'rank', 'completed', 'not run', 'may have run')


def top(
    platform: PlatformOption = DEFAULT_PLATFORM,
    period_s: Annotated[
        float,
        typer.Option(
            '--period', min=_MIN_PERIOD_S, help='seconds between looks'
        ),
    ] = 2,
    *,
    once: Annotated[bool, typer.Option('--once', help='print once')] = False,
    as_json: JsonOption = False,
) -> None:
    """Show requests of today by workspace and rank, from all live daemons.

    It goes on until interrupted; with --once or --json it prints once. Exit
    codes: 0 shown, 4 platform or all daemons do not answer.

    Example: cowslipstep top --once
    """
    client = connect(platform)
    if as_json:
        print_json(_look(client))
        return
    while True:
        lines = list(_lines(_look(client)))
        if once:
            print_lines(lines)
            return
        typer.echo(_CLEAR, nl=False)
        print_lines(lines)
        time.sleep(period_s)


def _look(platform: PlatformClient) -> tuple[Load, ...]:
    addresses = [daemon.http_address for daemon in read_live(platform)]
    view = read_loads(addresses)
    if not view.answered:
        raise Unreachable('no daemon answers')
    for address in view.silent:
        typer.echo(f'warning: no answer from {address}, not counted', err=True)
    return view.loads


def _lines(loads: tuple[Load, ...]) -> Iterator[str]:
    yield from table([_HEAD, *map(_row, loads)])


def _row(load: Load) -> tuple[str, ...]:
    counts = (load.completed, load.not_run, load.may_have_run)
    return (load.workspace, load.rank, *map(str, counts))
