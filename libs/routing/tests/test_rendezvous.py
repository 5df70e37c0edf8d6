"""Replays in which the owner of each cell changes in a flood."""

from __future__ import annotations

import pathlib

import pytest

from cowslipstep.replay import (
    OwnerSplit,
    Run,
    measure_owners,
    read_spec,
    replay,
)

TRACES = pathlib.Path(__file__).parents[3] / 'traces'
SPEC = read_spec(TRACES / 'gridsight-background-flood.json')
CHANGE_S = 45
MIN_IN_TIME = 0.99


@pytest.mark.parametrize(('length_s', 'over_admitted'), [(0, 0), (1, 0.03)])
def test_a_change_of_owners_costs_little(length_s, over_admitted) -> None:
    split = OwnerSplit(CHANGE_S, CHANGE_S + length_s)
    cost = measure_owners(Run(SPEC, replay(SPEC, split=split), replay))
    assert cost.urgent_in_time > MIN_IN_TIME
    assert cost.urgent_p95_s <= 1
    assert cost.over_admitted <= over_admitted
