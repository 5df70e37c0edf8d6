"""Cached prompt heads that are found after a change of owners."""

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
_CHANGE_S = 25
_WINDOW_S = 5
_SEEDS = 3
_PREFIXES = 12
_KEPT = 16
_P95 = 0.95
_FLEET = FleetModel(cached_prefixes=_KEPT)


def affinity_figures() -> Iterator[Figure]:
    """Yield hit ratios and waits in the first seconds after a change.

    Beside them is a new owner that knows only its own grants.
    """
    for path in sorted(_TRACES.glob('*background-flood.json')):
        spec = read_spec(path)
        events = _after_change(spec, _FLEET)
        grants = _after_change(spec, evolve(_FLEET, reads_cache_events=False))
        yield Figure(
            f'dispatch.prefix_hits_after_change.{path.stem}',
            _hit_ratio(events),
            'ratio',
            bound=_hit_ratio(grants),
            baseline=_hit_ratio(grants),
            at_least=True,
        )
        yield Figure(
            f'dispatch.urgent_p95_after_change.{path.stem}',
            _urgent_p95_s(events),
            's',
            baseline=_urgent_p95_s(grants),
        )


def _after_change(spec: TraceSpec, fleet: FleetModel) -> list[Outcome]:
    streams = [evolve(stream, prefixes=_PREFIXES) for stream in spec.streams]
    transition = OwnerTransition(_CHANGE_S, _CHANGE_S)
    return [
        outcome
        for seed in range(_SEEDS)
        for outcome in replay(
            evolve(spec, seed=seed, streams=streams),
            fleet=fleet,
            transition=transition,
        )
        if 0 <= outcome.arrival.arrival_s - _CHANGE_S < _WINDOW_S
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
