"""Checks of the guarantees that must hold during a soak."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cowslipstep_standins._fault_injector import FaultInjector
from cowslipstep_standins._fleet_monitor import FleetMonitor
from cowslipstep_standins._invariants import OutcomeCounts
from cowslipstep_standins._outcomes import Outcome

# A caller detects that a killed daemon closed its connection only with the
# next request, so requests sent up to this long after a kill may be lost.
_CONNECTION_LOSS_DETECTION_S = 1
_CALL_TIMEOUT_S = 60
_REFUSED_CONNECTION = 'NewConnectionError'


def find_violations_in_outcomes(
    counts: OutcomeCounts,
    outcomes: Iterable[Outcome],
    injector: FaultInjector,
) -> Iterator[str]:
    """Yield violations in the outcomes of callers and the engines' records."""
    for guarantee in ('doubled', 'misdelivered', 'false_not_run'):
        count = getattr(counts, guarantee)
        if count:
            yield f'{guarantee}: {count}'
    lost = [
        outcome for outcome in outcomes if _is_lost(outcome, injector.kills)
    ]
    if lost:
        codes = sorted({outcome.code for outcome in lost})
        yield f'lost: {len(lost)}, {codes}'


def find_violations_in_fleet(
    monitor: FleetMonitor,
    injector: FaultInjector,
) -> Iterator[str]:
    """Yield violations in the samples of the platform and of daemons."""
    if monitor.shared_hosts:
        yield f'hosts in two groups: {sorted(monitor.shared_hosts)}'
    if monitor.reverted:
        yield f'versions or next numbers decreased: {sorted(monitor.reverted)}'
    if any(injector.exits):
        yield f'exit statuses: {injector.exits}'


def _is_lost(
    outcome: Outcome,
    kills: list[tuple[str, float]],
) -> bool:
    """Whether a daemon that was not killed lost an accepted request."""
    if outcome.verdict != 'lost' or outcome.code == _REFUSED_CONNECTION:
        return False
    return not any(
        address == outcome.address
        and outcome.started_s - _CONNECTION_LOSS_DETECTION_S
        < at_s
        < outcome.started_s + _CALL_TIMEOUT_S
        for address, at_s in kills
    )
