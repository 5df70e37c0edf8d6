"""Faults of a soak, drawn from a seed in series that overlap."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from typing import Any

from attrs import frozen

from cowslipstep_standins._plan import FleetPlan
from cowslipstep_standins._soak_faults import (
    Changed,
    CutLink,
    Fault,
    Killed,
    Paused,
    PlatformFault,
    StandinFault,
    Stopped,
)

_LONGEST_S = 4
_SHORTEST_S = 0.2
# Several faults are at work at once most of the time.
_MEAN_GAP_S = 0.8
_LARGEST_WEIGHT = 9
_PLATFORM = ('platform',)
_LINK_RULES = ('slowed', 'withheld', 'severed')
_HOST_FAULTS: tuple[dict[str, Any], ...] = (
    {'dead': True},
    {'frozen': True},
    {'slow_factor': 5},
    {'cut_after_tokens': 10},
    {'refuse_status': '503 Service Unavailable'},
)
_SERVICE_FAULTS: tuple[dict[str, Any], ...] = (
    {'delay_s': 1},
    {'cut_before_run': 3},
    {'cut_after_run': 3},
    {'fail_after_run': 3},
    {'refuse': True},
)


@frozen
class Timed:
    """A fault from one moment of the soak to another."""

    begins_s: float
    ends_s: float
    fault: Fault


def draw_faults(
    plan: FleetPlan,
    rng: random.Random,
    seconds: float,
) -> Iterator[Timed]:
    """Yield the faults of a soak in the order of their beginnings."""
    begins_s = rng.expovariate(1 / _MEAN_GAP_S)
    while begins_s < seconds:
        for_s = rng.uniform(_SHORTEST_S, _LONGEST_S)
        yield Timed(begins_s, begins_s + for_s, _draw(plan, rng))
        begins_s += rng.expovariate(1 / _MEAN_GAP_S)


def _draw(plan: FleetPlan, rng: random.Random) -> Fault:
    daemon = rng.choice(plan.daemons).name
    host = rng.choice(plan.hosts).address
    service = rng.choice(plan.services)
    drawn: tuple[Fault, ...] = (
        rng.choice((Killed, Stopped, Paused))(daemon),
        CutLink(*rng.choice(_links(plan)), rng.choice(_LINK_RULES)),
        PlatformFault(rng.choice(_platform_faults(daemon))),
        StandinFault(host, rng.choice(_HOST_FAULTS)),
        StandinFault(service, rng.choice(_SERVICE_FAULTS)),
        Changed(rng.randint(1, _LARGEST_WEIGHT)),
    )
    return rng.choice(drawn)


def _links(plan: FleetPlan) -> list[tuple[str, str]]:
    daemons = [daemon.name for daemon in plan.daemons]
    between = itertools.permutations(daemons, 2)
    return [
        *between,
        *itertools.product(daemons, _PLATFORM),
        *itertools.product(_PLATFORM, daemons),
    ]


def _platform_faults(daemon: str) -> tuple[dict[str, Any], ...]:
    return (
        {'outage': True},
        {'delay_s': 0.3},
        {'lose_answers': 3},
        {'cut_off': [daemon]},
    )
