"""Service on both sides of a split, and the time until it is healed."""

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
_BEFORE_S = 3
_SPLIT_S = 10
_WHOLE_BOUND_S = 13


def figures() -> Iterator[Figure]:
    """Yield the gaps in service and the failed requests on both sides."""
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
            yield _split_and_heal(fleet)
            yield from _side_figures('first', first, started_s)
            yield from _side_figures('second', second, started_s)


def _split_and_heal(fleet: LocalFleet) -> Figure:
    time.sleep(_BEFORE_S)
    pairs = itertools.chain(
        itertools.product(*_SIDES),
        itertools.product(*reversed(_SIDES)),
    )
    rules = [
        {'source': source, 'target': target, 'rule': 'withheld'}
        for source, target in pairs
    ]
    fleet.control(fleet.plan.relay, rules)
    time.sleep(_SPLIT_S)
    fleet.control(fleet.plan.relay, [])
    healed_s = time.monotonic()
    wait_until(lambda: _live(fleet) == {4}, 'all daemons live')
    return Figure(
        'partitions.members_known_again',
        time.monotonic() - healed_s,
        's',
        bound=_WHOLE_BOUND_S,
    )


def _live(fleet: LocalFleet) -> set[float]:
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
    served = sorted(sent.started_s for sent in outcomes if sent.correct)
    yield Figure(f'{prefix}_longest_gap', _longest([started_s, *served]), 's')
    failed = len(outcomes) - len(served)
    yield Figure(f'{prefix}_failed', failed, 'requests')
    yield Figure(f'{prefix}_sent', len(outcomes), 'requests')


def _longest(moments_s: list[float]) -> float:
    return max(
        later - earlier for earlier, later in itertools.pairwise(moments_s)
    )
