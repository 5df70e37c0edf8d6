"""Promises that a soak checks."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cowslipstep_standins._checker import Tally
from cowslipstep_standins._fleet_watch import FleetWatch
from cowslipstep_standins._outcomes import Outcome
from cowslipstep_standins._soak_run import DisturbedFleet

# A connection that a killed daemon has left is noticed with the next use.
_NOTICED_S = 1
_CALL_S = 60
_NOT_TAKEN = 'NewConnectionError'


def broken_by_requests(
    counted: Tally,
    outcomes: Iterable[Outcome],
    disturbed: DisturbedFleet,
) -> Iterator[str]:
    """Yield what callers, engines and services saw go wrong."""
    for promise in ('doubled', 'misdelivered', 'false_not_run'):
        count = getattr(counted, promise)
        if count:
            yield f'{promise}: {count}'
    lost = [one for one in outcomes if _is_lost(one, disturbed.killed_s)]
    if lost:
        codes = sorted({one.code for one in lost})
        yield f'lost: {len(lost)}, {codes}'


def broken_by_daemons(
    watch: FleetWatch,
    disturbed: DisturbedFleet,
) -> Iterator[str]:
    """Yield what the platform and daemons showed go wrong."""
    if watch.shared_hosts:
        yield f'hosts in two groups: {sorted(watch.shared_hosts)}'
    if watch.reverted:
        yield f'older versions: {sorted(watch.reverted)}'
    if any(disturbed.exits):
        yield f'exit statuses: {disturbed.exits}'


def _is_lost(
    outcome: Outcome,
    killed_s: list[tuple[str, float]],
) -> bool:
    """Whether a request that was taken got no answer from a live daemon."""
    if outcome.verdict != 'lost' or outcome.code == _NOT_TAKEN:
        return False
    return not any(
        address == outcome.address
        and outcome.started_s - _NOTICED_S < at_s < outcome.started_s + _CALL_S
        for address, at_s in killed_s
    )
