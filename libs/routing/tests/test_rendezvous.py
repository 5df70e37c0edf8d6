"""Replays in which the owner of each cell changes under overload.

For a while some daemons use the former owner and others the new one, so that
two dispatchers grant the slots of a cell.
"""

from __future__ import annotations

import pathlib

import pytest

from cowslipstep.replay import (
    OwnerTransition,
    ReplayedTrace,
    measure_owner_cost,
    read_spec,
    replay,
)

TRACES = pathlib.Path(__file__).parents[3] / 'traces'
SPEC = read_spec(TRACES / 'gridsight-background-flood.json')
OWNER_CHANGE_AT_S = 45
MIN_URGENT_IN_TIME_SHARE = 0.99


@pytest.mark.parametrize(
    ('transition_duration_s', 'over_admitted'), [(0, 0), (1, 0.03)]
)
def test_change_of_owners_delays_few_requests(
    transition_duration_s, over_admitted
) -> None:
    transition = OwnerTransition(
        OWNER_CHANGE_AT_S, OWNER_CHANGE_AT_S + transition_duration_s
    )
    cost = measure_owner_cost(
        ReplayedTrace(SPEC, replay(SPEC, transition=transition), replay)
    )
    assert cost.urgent_in_time > MIN_URGENT_IN_TIME_SHARE
    assert cost.urgent_p95_s <= 1
    assert cost.over_admitted <= over_admitted
