"""Random schedule of overlapping faults, determined by a seed."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from typing import Any

from attrs import frozen

from cowslipstep_standins._plan import FleetPlan
from cowslipstep_standins._soak_faults import (
    DisturbLink,
    Fault,
    KillDaemon,
    PauseDaemon,
    PlatformFault,
    StandinFault,
    StopDaemon,
    SubmitConfiguration,
)

_MAX_FAULT_DURATION_S = 4
_MIN_FAULT_DURATION_S = 0.2
# Short against the duration of faults, so that most of the time several
# faults are active at once.
_MEAN_FAULT_INTERVAL_S = 0.8
_MAX_WORKSPACE_WEIGHT = 9
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
class ScheduledFault:
    """A fault with its start and end, seconds after the start of the soak."""

    begins_s: float
    ends_s: float
    fault: Fault


def draw_schedule(
    plan: FleetPlan,
    rng: random.Random,
    seconds: float,
) -> Iterator[ScheduledFault]:
    """Yield the faults of a soak in the order of their start times."""
    begins_s = rng.expovariate(1 / _MEAN_FAULT_INTERVAL_S)
    while begins_s < seconds:
        duration_s = rng.uniform(_MIN_FAULT_DURATION_S, _MAX_FAULT_DURATION_S)
        yield ScheduledFault(begins_s, begins_s + duration_s, _draw(plan, rng))
        begins_s += rng.expovariate(1 / _MEAN_FAULT_INTERVAL_S)


def _draw(plan: FleetPlan, rng: random.Random) -> Fault:
    daemon = rng.choice(plan.daemons).name
    host = rng.choice(plan.hosts).address
    service = rng.choice(plan.services)
    candidates: tuple[Fault, ...] = (
        rng.choice((KillDaemon, StopDaemon, PauseDaemon))(daemon),
        DisturbLink(*rng.choice(_links(plan)), rng.choice(_LINK_RULES)),
        PlatformFault(rng.choice(_platform_faults(daemon))),
        StandinFault(host, rng.choice(_HOST_FAULTS)),
        StandinFault(service, rng.choice(_SERVICE_FAULTS)),
        SubmitConfiguration(rng.randint(1, _MAX_WORKSPACE_WEIGHT)),
    )
    return rng.choice(candidates)


def _links(plan: FleetPlan) -> list[tuple[str, str]]:
    daemons = [daemon.name for daemon in plan.daemons]
    daemon_pairs = itertools.permutations(daemons, 2)
    return [
        *daemon_pairs,
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
