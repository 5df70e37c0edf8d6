"""Replays of failures under load that a fixed layout does not survive."""

from __future__ import annotations

from types import MappingProxyType

import pytest
from _fleet_replay import DRAIN_S, STEP_S, FleetReplay, runner_of

from cowslipstep.fleet import CloseGroup, FormGroup, OpenGroup

# The share of its groups that requests may fill before they wait long.
FULL = 1
# A group that is missed is made up for by this time of a replay.
SOON_S = 20
CRASHES = 6
DEMAND = MappingProxyType({'pair': 6, 'quad': 2.6})


def start(domains: int = 3, size: int = 10, **demand: float) -> FleetReplay:
    replay = FleetReplay(domains, size, demand or DEMAND)
    replay.run_until(8)
    return replay


def test_large_groups_that_break_are_made_up_for():
    replay = start()
    for crash_s in (10, 14, 18):
        replay.crash('quad')
        replay.run_until(crash_s + 4)
    replay.run_until(30)
    assert max(replay.busy().values()) < FULL


def test_runners_follow_demand_either_way():
    replay = start(pair=6, quad=1)
    replay.demand = {'pair': 3, 'quad': 3.5}
    replay.run_until(30)
    assert max(replay.busy().values()) < FULL
    replay.demand = {'pair': 9, 'quad': 1}
    replay.run_until(60)
    assert max(replay.busy().values()) < FULL


def test_groups_stay_while_no_model_is_busy():
    replay = start(pair=3, quad=1)
    replay.crash('quad')
    replay.run_until(30)
    assert not closed(replay)


def test_reallocation_of_little_gain_is_left_out():
    replay = start(domains=1, pair=2.4, quad=0.9)
    replay.run_until(30)
    assert not closed(replay)


def test_reallocation_ends_when_a_member_is_lost():
    replay = start()
    replay.crash('quad')
    while not closed(replay) and replay.now_s < SOON_S:
        replay.run_until(replay.now_s + STEP_S)
    domain = closed(replay)[0].leader.fabric_domain
    freed = min(free_in(replay, domain))
    replay.runners.alive.pop(freed)
    replay.run_until(30)
    assert max(replay.busy().values()) < FULL
    assert not free_in(replay, domain)[1:]


def test_no_group_ends_while_all_are_needed():
    replay = start(pair=24, quad=9)
    replay.crash('quad')
    replay.run_until(30)
    assert not closed(replay)


@pytest.mark.parametrize('late_s', [0.1, 0.3, 0.5])
def test_late_command_to_open_does_no_harm(late_s):
    replay = start()
    replay.crash('quad')
    while not closed(replay) and replay.now_s < SOON_S:
        replay.run_until(replay.now_s + STEP_S)
    ended = closed(replay)[0]
    late = OpenGroup(ended.key, ended.leader)
    empty_s = replay.now_s + DRAIN_S
    replay.send(late, empty_s + late_s)
    replay.run_until(30)
    assert not replay.runners.broken_rules


@pytest.mark.parametrize('domains', [1, 3, 12])
def test_members_of_a_group_are_of_one_domain(domains):
    replay = start(domains, pair=2 * domains, quad=domains)
    for _ in range(domains):
        replay.crash('quad')
        replay.run_until(replay.now_s + 3)
    formed = [step for step in replay.decisions if isinstance(step, FormGroup)]
    assert formed
    assert all(len(domains_of(step)) == 1 for step in formed)


def domains_of(step: FormGroup) -> set[str]:
    return {member.fabric_domain for member in step.members}


def free_in(replay: FleetReplay, domain: str) -> list[str]:
    return [
        runner.name
        for runner in replay.runners.alive.values()
        if runner.group_position is None and runner.fabric_domain == domain
    ]


def closed(replay: FleetReplay) -> list[CloseGroup]:
    return [step for step in replay.decisions if isinstance(step, CloseGroup)]


def test_survivors_do_not_wait_for_single_runners():
    replay = start(domains=9, size=4, pair=10, quad=30)
    before = serving(replay)
    for number in range(2 * CRASHES):
        if number < CRASHES:
            replay.crash('quad')
        added = runner_of(100 + number, 100 + number)
        replay.runners.alive[added.name] = added
        replay.run_until(replay.now_s + 1)
    # Two of the three that are left of each group of four serve on.
    assert serving(replay) == before - 2 * CRASHES


def serving(replay: FleetReplay) -> int:
    """Count the runners in groups that take requests."""
    lists = replay.runners.lists
    return sum(len(lists[key]) for key in replay.runners.leaders())
