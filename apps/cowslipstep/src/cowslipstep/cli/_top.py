"""Command ``top``."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Annotated

import typer

from cowslipstep.cli._errors import Unreachable
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines, table
from cowslipstep.cli._platform_objects import read_live_daemons
from cowslipstep.cli._request_counts import RequestCounts, read_request_counts
from cowslipstep.platform import PlatformClient

_MIN_PERIOD_S = 0.2
_CLEAR_SCREEN = '\033[H\033[2J'
_HEADER = ('workspace', 'rank', 'completed', 'not run', 'may have run')


def top(
    platform: PlatformOption = DEFAULT_PLATFORM,
    period_s: Annotated[
        float,
        typer.Option(
            '--period', min=_MIN_PERIOD_S, help='seconds between refreshes'
        ),
    ] = 2,
    *,
    once: Annotated[bool, typer.Option('--once', help='print once')] = False,
    as_json: JsonOption = False,
) -> None:
    """Show today's ended requests by workspace and rank, of all live daemons.

    The table is refreshed until interrupted; with --once or --json it is
    printed once. Exit codes: 0 shown, 4 platform or all daemons do not
    answer.

    Example: cowslipstep top --once
    """
    client = connect(platform)
    if as_json:
        print_json(_read_counts(client))
        return
    while True:
        lines = list(_lines(_read_counts(client)))
        if once:
            print_lines(lines)
            return
        typer.echo(_CLEAR_SCREEN, nl=False)
        print_lines(lines)
        time.sleep(period_s)


def _read_counts(platform: PlatformClient) -> tuple[RequestCounts, ...]:
    addresses = [daemon.http_address for daemon in read_live_daemons(platform)]
    fleet_counts = read_request_counts(addresses)
    if not fleet_counts.answered:
        raise Unreachable('no daemon answers')
    for address in fleet_counts.unreachable:
        typer.echo(
            f'warning: no response from {address}, its counts are left out',
            err=True,
        )
    return fleet_counts.counts


def _lines(all_counts: tuple[RequestCounts, ...]) -> Iterator[str]:
    yield from table([_HEADER, *map(_row, all_counts)])


def _row(counts: RequestCounts) -> tuple[str, ...]:
    by_verdict = (counts.completed, counts.not_run, counts.may_have_run)
    return (counts.workspace, counts.rank, *map(str, by_verdict))
