"""Command ``status``."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._daemons import DaemonView
from cowslipstep.cli._exits import NotWell
from cowslipstep.cli._fleet_view import FleetView, view_fleet
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines, table

_HEAD = ('daemon', 'failure domain', 'address', 'ready', 'version')


def status(
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Show daemons, groups and drains, and what is not well.

    Exit codes: 0 all well, 1 something is not well, 4 platform does not
    answer.

    Example: cowslipstep status --json
    """
    view = view_fleet(connect(platform))
    if as_json:
        print_json(view)
    else:
        print_lines(_lines(view))
    problems = list(view.problems())
    if problems:
        raise ExceptionGroup('not well', [NotWell(text) for text in problems])


def _lines(view: FleetView) -> Iterator[str]:
    yield f'configuration version {view.version}'
    yield from table([_HEAD, *map(_row, view.daemons)])
    for model in view.models:
        yield f'model {model.name}: {model.formed} of {model.wanted} groups'
    yield from map(str, view.drains)


def _row(daemon: DaemonView) -> tuple[str, ...]:
    ready = 'yes' if daemon.ready else 'no'
    place = (daemon.name, daemon.failure_domain, daemon.address)
    return (*place, ready, str(daemon.version))
