"""Replays of failures and changes of demand that need reallocations."""

from __future__ import annotations

from types import MappingProxyType

import pytest
from _fleet_cases import crash, loaded_runner, small_fleet

from cowslipstep.fleet import CloseGroup, FormGroup, OpenGroup
from cowslipstep.fleet.replay import CLOSE_S, STEP_S, FleetReplay

# Largest demand per group with which requests do not wait long.
MAX_UTILIZATION = 1
# Clock reading of a replay by which a reallocation must have started.
REALLOCATED_BY_S = 20
CRASHES = 6
DEMAND = MappingProxyType({'pair': 6, 'quad': 2.6})


def start(domains: int = 3, size: int = 10, **demand: float) -> FleetReplay:
    replay = small_fleet(domains, size, demand or DEMAND)
    replay.run_until(8)
    return replay


def test_broken_large_groups_are_replaced():
    replay = start()
    for crash_s in (10, 14, 18):
        crash(replay, 'quad')
        replay.run_until(crash_s + 4)
    replay.run_until(30)
    assert max(replay.utilization().values()) < MAX_UTILIZATION


def test_runners_follow_demand_either_way():
    replay = start(pair=6, quad=1)
    replay.demand = {'pair': 3, 'quad': 3.5}
    replay.run_until(30)
    assert max(replay.utilization().values()) < MAX_UTILIZATION
    replay.demand = {'pair': 9, 'quad': 1}
    replay.run_until(60)
    assert max(replay.utilization().values()) < MAX_UTILIZATION


def test_groups_stay_while_no_model_is_busy():
    replay = start(pair=3, quad=1)
    crash(replay, 'quad')
    replay.run_until(30)
    assert not closed(replay)


def test_reallocation_of_little_gain_is_not_made():
    replay = start(domains=1, pair=2.4, quad=0.9)
    replay.run_until(30)
    assert not closed(replay)


def test_reallocation_ends_when_a_member_is_lost():
    replay = start()
    crash(replay, 'quad')
    while not closed(replay) and replay.now_s < REALLOCATED_BY_S:
        replay.run_until(replay.now_s + STEP_S)
    domain = closed(replay)[0].leader.fabric_domain
    freed = min(free_in(replay, domain))
    replay.runners.alive.pop(freed)
    replay.run_until(30)
    assert max(replay.utilization().values()) < MAX_UTILIZATION
    assert not free_in(replay, domain)[1:]


def test_no_group_ends_while_all_are_needed():
    replay = start(pair=24, quad=9)
    crash(replay, 'quad')
    replay.run_until(30)
    assert not closed(replay)


@pytest.mark.parametrize('late_s', [0.1, 0.3, 0.5])
def test_late_command_to_open_breaks_no_rule(late_s):
    replay = start()
    crash(replay, 'quad')
    while not closed(replay) and replay.now_s < REALLOCATED_BY_S:
        replay.run_until(replay.now_s + STEP_S)
    ended = closed(replay)[0]
    late_open = OpenGroup(ended.key, ended.leader)
    drained_s = replay.now_s + CLOSE_S
    replay.send(late_open, drained_s + late_s)
    replay.run_until(30)
    assert not replay.runners.rule_violations


@pytest.mark.parametrize('domains', [1, 3, 12])
def test_members_of_a_group_are_of_one_domain(domains):
    replay = start(domains, pair=2 * domains, quad=domains)
    for _ in range(domains):
        crash(replay, 'quad')
        replay.run_until(replay.now_s + 3)
    formed = [
        decision
        for decision in replay.decisions
        if isinstance(decision, FormGroup)
    ]
    assert formed
    assert all(len(domains_of(decision)) == 1 for decision in formed)


def domains_of(decision: FormGroup) -> set[str]:
    return {member.fabric_domain for member in decision.members}


def free_in(replay: FleetReplay, domain: str) -> list[str]:
    return [
        runner.name
        for runner in replay.runners.alive.values()
        if runner.group_position is None and runner.fabric_domain == domain
    ]


def closed(replay: FleetReplay) -> list[CloseGroup]:
    return [
        decision
        for decision in replay.decisions
        if isinstance(decision, CloseGroup)
    ]


def test_survivors_do_not_wait_for_single_runners():
    replay = start(domains=9, size=4, pair=10, quad=30)
    before = serving(replay)
    for number in range(2 * CRASHES):
        if number < CRASHES:
            crash(replay, 'quad')
        added = loaded_runner(100 + number, 100 + number)
        replay.runners.alive[added.name] = added
        replay.run_until(replay.now_s + 1)
    # Of the three runners left of each group of four, two serve in a new group.
    assert serving(replay) == before - 2 * CRASHES


def serving(replay: FleetReplay) -> int:
    """Count the runners in groups that accept or finish requests."""
    member_lists = replay.runners.member_lists
    return sum(len(member_lists[key]) for key in replay.runners.leaders())
