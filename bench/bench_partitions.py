"""Service on both sides of a network partition, and the time to rejoin."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator

from _figures import Figure

from cowslipstep_standins._background_load import (
    BackgroundLoad,
    background_load,
)
from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until

_SIDES = (('d0', 'd1'), ('d2', 'd3'))
_TOKEN_S = 0.005
_TIME_BEFORE_PARTITION_S = 3
_PARTITION_S = 10
_MAX_REJOIN_S = 13


def figures() -> Iterator[Figure]:
    """Yield the time to rejoin, the gaps in service and failed requests."""
    shape = FleetShape(
        daemons=4,
        failure_domains=('port-louis', 'ebene'),
        token_s=_TOKEN_S,
        relayed=True,
    )
    with local_fleet(shape) as fleet:
        started_s = time.monotonic()
        with (
            background_load(fleet, daemons=_SIDES[0]) as first,
            background_load(fleet, daemons=_SIDES[1]) as second,
        ):
            yield _partition_and_heal(fleet)
            yield from _side_figures('first', first, started_s)
            yield from _side_figures('second', second, started_s)


def _partition_and_heal(fleet: LocalFleet) -> Figure:
    time.sleep(_TIME_BEFORE_PARTITION_S)
    pairs = itertools.chain(
        itertools.product(*_SIDES),
        itertools.product(*reversed(_SIDES)),
    )
    rules = [
        {'source': source, 'target': target, 'rule': 'withheld'}
        for source, target in pairs
    ]
    fleet.control(fleet.plan.relay, rules)
    time.sleep(_PARTITION_S)
    fleet.control(fleet.plan.relay, [])
    healed_s = time.monotonic()
    wait_until(lambda: _live_daemon_counts(fleet) == {4}, 'all daemons live')
    return Figure(
        'partitions.members_known_again',
        time.monotonic() - healed_s,
        's',
        bound=_MAX_REJOIN_S,
    )


def _live_daemon_counts(fleet: LocalFleet) -> set[float]:
    balancer = Balancer(fleet)
    return {
        balancer.metric(daemon.name, 'control_live_daemons')
        for daemon in fleet.plan.daemons
    }


def _side_figures(
    name: str,
    load: BackgroundLoad,
    started_s: float,
) -> Iterator[Figure]:
    prefix = f'partitions.{name}_side'
    outcomes = load.outcomes
    served = sorted(
        outcome.started_s for outcome in outcomes if outcome.correct
    )
    yield Figure(
        f'{prefix}_longest_gap', _longest_gap_s([started_s, *served]), 's'
    )
    failed = len(outcomes) - len(served)
    yield Figure(f'{prefix}_failed', failed, 'requests')
    yield Figure(f'{prefix}_sent', len(outcomes), 'requests')


def _longest_gap_s(served_at_s: list[float]) -> float:
    return max(
        later - earlier for earlier, later in itertools.pairwise(served_at_s)
    )
