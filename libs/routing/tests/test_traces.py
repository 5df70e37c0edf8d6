"""Replays of the traces meet the bounds that their specifications state."""

from __future__ import annotations

import pathlib

import pytest

from cowslipstep.replay import (
    Outcome,
    TraceSpec,
    measure_all,
    meets_bound,
    read_spec,
    replay,
    write_outcome,
)

TRACES = sorted(
    (pathlib.Path(__file__).parents[3] / 'traces').glob('*.json'),
)


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_meets_its_stated_bounds(path) -> None:
    spec = read_spec(path)
    figures = measure_all(spec, _replay_and_check_all_ended)
    missed = {
        name: figure
        for name, figure in figures.items()
        if not meets_bound(name, figure, spec.outcomes[name])
    }
    assert not missed


def test_replay_is_deterministic() -> None:
    spec = read_spec(TRACES[0])
    first, second = (
        [write_outcome(outcome) for outcome in replay(spec)] for _ in range(2)
    )
    assert first == second


def _replay_and_check_all_ended(spec: TraceSpec) -> list[Outcome]:
    outcomes = replay(spec)
    assert all(outcome.code != 'open' for outcome in outcomes)
    return outcomes
