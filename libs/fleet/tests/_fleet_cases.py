"""Small fleets of two models for replays of the planner."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from _engine_cases import engine_of

from cowslipstep.fleet import DiscoveredRunner, ModelProfile
from cowslipstep.fleet.replay import FleetReplay, runner_of

PAIR = ModelProfile(
    'pair', group_size=2, share=0.6, load_s=12, staged_load_s=1.1
)
QUAD = ModelProfile(
    'quad', group_size=4, share=0.4, load_s=16, staged_load_s=1.6
)
ENGINE = engine_of(PAIR, QUAD, loads_per_s=1, loads_at_once=4)
# Loads of weights are not limited before the first requests arrive.
UNLIMITED_LOADS_S = 4


def without_delay() -> tuple[float, ...]:
    return (0,)


def small_fleet(
    domains: int,
    size: int,
    demand: Mapping[str, float],
    delays: Callable[[], tuple[float, ...]] = without_delay,
) -> FleetReplay:
    """Return a replay with all runners; each host has both models' weights."""
    replay = FleetReplay(
        ENGINE, demand, delays, loads_limited_from_s=UNLIMITED_LOADS_S
    )
    replay.runners.staging_factor = 0
    for number in range(domains * size):
        added = loaded_runner(number, number // size)
        replay.runners.alive[added.name] = added
    return replay


def loaded_runner(number: int, domain: int) -> DiscoveredRunner:
    return runner_of(number, domain, ENGINE.slots, ('pair',), ('quad',))


def crash(replay: FleetReplay, model: str, rank: int = 1) -> None:
    """Remove a member with that rank of some group of a model for good."""
    members = [
        runner.name
        for runner in replay.runners.alive.values()
        if runner.group_position
        and runner.group_position.rank == rank
        and model in runner.loaded_models
    ]
    if members:
        replay.runners.alive.pop(min(members))
