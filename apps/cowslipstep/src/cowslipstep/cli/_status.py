"""Command ``status``."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._daemons import DaemonState
from cowslipstep.cli._errors import ProblemFound
from cowslipstep.cli._fleet_status import FleetStatus, read_fleet_status
from cowslipstep.cli._options import (
    DEFAULT_PLATFORM,
    JsonOption,
    PlatformOption,
    connect,
)
from cowslipstep.cli._output import print_json, print_lines, table

_HEADER = ('daemon', 'failure domain', 'address', 'ready', 'version')


def status(
    platform: PlatformOption = DEFAULT_PLATFORM,
    *,
    as_json: JsonOption = False,
) -> None:
    """Show daemons, groups and drains, and a line for each problem.

    Exit codes: 0 no problem, 1 problems found, 4 platform does not answer.

    Example: cowslipstep status --json
    """
    fleet = read_fleet_status(connect(platform))
    if as_json:
        print_json(fleet)
    else:
        print_lines(_lines(fleet))
    problems = list(fleet.problems())
    if problems:
        raise ExceptionGroup(
            'problems found', [ProblemFound(text) for text in problems]
        )


def _lines(fleet: FleetStatus) -> Iterator[str]:
    yield f'configuration version {fleet.version}'
    yield from table([_HEADER, *map(_row, fleet.daemons)])
    for model in fleet.models:
        yield f'model {model.name}: {model.formed} of {model.wanted} groups'
    yield from map(str, fleet.drains)


def _row(daemon: DaemonState) -> tuple[str, ...]:
    ready = 'yes' if daemon.ready else 'no'
    identity = (daemon.name, daemon.failure_domain, daemon.address)
    return (*identity, ready, str(daemon.version))
