"""Requests that are placed by old reports on the load of groups."""

from __future__ import annotations

import pytest
from _engine_cases import engine_of

from cowslipstep.fleet import ModelProfile
from cowslipstep.replay._placement_replay import (
    PlacementCase,
    soonest_with_jitter,
    waiting_share,
)
from cowslipstep.routing import ModelTimes, UsualRequest

MODEL = ModelProfile('pair', group_size=2, time_factor=0.6)
TIMES = ModelTimes(engine_of(MODEL), MODEL, UsualRequest(700, 150))
# Half and two thirds of all slots are in use.
CASES = (PlacementCase(TIMES, 55, 230), PlacementCase(TIMES, 41, 230))
# Part of the requests that wait under the former decision which may wait.
MAX_PART = 0.5


# Any group with a free slot was taken, so that requests waited for a slot at
# one group while others had several.
@pytest.mark.parametrize('case', CASES)
def test_few_requests_wait_while_slots_are_free(case: PlacementCase) -> None:
    former = waiting_share(case, soonest_with_jitter)
    assert waiting_share(case) <= MAX_PART * former
