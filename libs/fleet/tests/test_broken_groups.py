"""Replays in which large groups break while other models are busy."""

from __future__ import annotations

from _fleet_cases import crash, small_fleet

from cowslipstep.fleet import CloseGroup
from cowslipstep.fleet.replay import FleetReplay

CUT_S = 5
END_S = 20
HALF_WAVE_S = 6


class BrokenQuad:
    """A fleet in which a group of four loses one member."""

    def __init__(self, **demand: float) -> None:
        self.replay = small_fleet(domains=3, size=10, demand=demand)
        self.replay.run_until(8)
        self.utilization_before = self.utilization
        crash(self.replay, 'quad')

    @property
    def utilization(self) -> float:
        """Demand for the model of large groups, for each group."""
        return self.replay.utilization()['quad']


def closed(replay: FleetReplay) -> list[CloseGroup]:
    return [
        decision
        for decision in replay.decisions
        if isinstance(decision, CloseGroup)
    ]


# While the small model was busy, too, no group of the large one was replaced:
# it fell to a tenth of its demand.
def test_group_is_completed_while_all_are_busy() -> None:
    case = BrokenQuad(pair=13, quad=6)
    case.replay.run_until(END_S)
    assert len(closed(case.replay)) == 1
    assert case.utilization == case.utilization_before


# Its survivors were divided among small groups, whose members would need a load
# from the weight store before they could return.
def test_broken_group_takes_one_small_group() -> None:
    case = BrokenQuad(pair=9, quad=3)
    case.replay.run_until(END_S)
    assert len(closed(case.replay)) == 1
    assert case.utilization == case.utilization_before


# A leader that was to close lost the store; the reallocation failed, and the
# survivors of the broken group were divided during a pause.
def test_another_group_ends_in_place_of_a_cut_one() -> None:
    case = BrokenQuad(pair=9, quad=3)
    replay = case.replay
    while not closed(replay):
        replay.step()
    ends_s = replay.now_s + CUT_S
    leader = closed(replay)[0].leader
    replay.cut_off(leader.name, ends_s)
    replay.run_until(ends_s)
    assert case.utilization == case.utilization_before


# Each model in turn gave up groups that it needed again 6 s later.
def test_no_group_ends_in_a_trough() -> None:
    replay = small_fleet(domains=3, size=10, demand={'pair': 9, 'quad': 3})
    replay.run_until(8)
    crests = ({'pair': 9, 'quad': 1.5}, {'pair': 4.5, 'quad': 3})
    for demand in crests * 3:
        replay.demand = demand
        replay.run_until(replay.now_s + HALF_WAVE_S)
    assert not closed(replay)
