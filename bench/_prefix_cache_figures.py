"""Prefix cache hits after the owners of cells change."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

from _figures import Figure
from attrs import evolve

from cowslipstep.replay import (
    FleetModel,
    Outcome,
    OwnerTransition,
    TraceSpec,
    percentile,
    read_spec,
    replay,
)

_TRACES = pathlib.Path(__file__).parents[1] / 'traces'
_TRANSITION_AT_S = 25
_MEASURED_WINDOW_S = 5
_SEED_COUNT = 3
_PREFIXES_PER_WORKSPACE = 12
_PREFIX_CACHE_CAPACITY = 16
_P95 = 0.95
_FLEET = FleetModel(cached_prefixes=_PREFIX_CACHE_CAPACITY)


def prefix_cache_figures() -> Iterator[Figure]:
    """Yield hit ratios and waits in the first seconds after a change.

    In the baseline the new owner does not read the cache events of engines
    and has only the prefixes of its own grants.
    """
    for path in sorted(_TRACES.glob('*background-flood.json')):
        spec = read_spec(path)
        with_events = _outcomes_after_transition(spec, _FLEET)
        with_grants_only = _outcomes_after_transition(
            spec, evolve(_FLEET, reads_cache_events=False)
        )
        yield Figure(
            f'dispatch.prefix_hits_after_change.{path.stem}',
            _hit_ratio(with_events),
            'ratio',
            bound=_hit_ratio(with_grants_only),
            baseline=_hit_ratio(with_grants_only),
            at_least=True,
        )
        yield Figure(
            f'dispatch.urgent_p95_after_change.{path.stem}',
            _urgent_p95_s(with_events),
            's',
            baseline=_urgent_p95_s(with_grants_only),
        )


def _outcomes_after_transition(
    spec: TraceSpec, fleet: FleetModel
) -> list[Outcome]:
    streams = [
        evolve(stream, prefixes=_PREFIXES_PER_WORKSPACE)
        for stream in spec.streams
    ]
    transition = OwnerTransition(_TRANSITION_AT_S, _TRANSITION_AT_S)
    return [
        outcome
        for seed in range(_SEED_COUNT)
        for outcome in replay(
            evolve(spec, seed=seed, streams=streams),
            fleet=fleet,
            transition=transition,
        )
        if 0
        <= outcome.arrival.arrival_s - _TRANSITION_AT_S
        < _MEASURED_WINDOW_S
    ]


def _hit_ratio(outcomes: list[Outcome]) -> float:
    completed = [outcome.hit for outcome in outcomes if outcome.completed]
    return sum(completed) / len(completed)


def _urgent_p95_s(outcomes: list[Outcome]) -> float:
    waits = [
        outcome.wait_s
        for outcome in outcomes
        if outcome.completed and outcome.arrival.rank == 'urgent'
    ]
    return percentile(waits, _P95)
