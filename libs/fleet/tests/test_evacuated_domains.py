"""Replays of a third of the runners that leave at once and come back."""

from __future__ import annotations

import random
from types import MappingProxyType

import pytest
from _fleet_cases import loaded_runner, small_fleet
from attrs import evolve

from cowslipstep.fleet import (
    CloseGroup,
    Evacuations,
    FormGroup,
    LeaveGroup,
    MemberState,
)
from cowslipstep.fleet.replay import FleetReplay

SETTLED_S = 8
DEMAND = MappingProxyType({'pair': 6, 'quad': 2.6})
ZONE = 'zone-1'
EVACUATED = Evacuations(5, frozenset((ZONE,)))
DOMAINS = 3
LARGE_DOMAINS = 12
# Keeps 0.85 of two thirds of the runners busy.
LARGE_DEMAND = MappingProxyType({'pair': 24, 'quad': 8.5})
# Largest demand per group with which requests do not wait long.
MAX_UTILIZATION = 1
DELAYS = ((0.1,), (0.2,), (0.1, 0.4), ())
# Longer than any load of weights.
LOADED_WITHIN_S = 20
DOMAIN_SIZE = 12


@pytest.fixture
def replay() -> FleetReplay:
    fleet = small_fleet(DOMAINS, DOMAIN_SIZE, DEMAND)
    fleet.run_until(SETTLED_S)
    return fleet


def leaders_in(replay: FleetReplay, zone: str) -> list[MemberState]:
    return [
        leader.group_position.state
        for leader in replay.runners.leaders().values()
        if leader.failure_domain == zone
    ]


def evacuate(replay: FleetReplay, evacuations: Evacuations) -> None:
    """Change the evacuations; decisions are recorded from now on."""
    replay.evacuations = evacuations
    replay.decisions.clear()


def decided(replay: FleetReplay, kind: type) -> list:
    return [
        decision for decision in replay.decisions if isinstance(decision, kind)
    ]


def test_groups_stay_formed(replay) -> None:
    """Groups that were closed came back after a load of weights."""
    before = leaders_in(replay, ZONE)
    evacuate(replay, EVACUATED)
    replay.run_until(replay.now_s + 20)
    assert leaders_in(replay, ZONE) == before
    assert set(before) == {MemberState.open}
    ended = (*decided(replay, CloseGroup), *decided(replay, LeaveGroup))
    domains = {decision.leader.failure_domain for decision in ended}
    assert ZONE not in domains


def test_no_group_is_formed_of_evacuated_runners(replay) -> None:
    added = loaded_runner(200, 1), loaded_runner(201, 1)
    replay.runners.alive.update({runner.name: runner for runner in added})
    evacuate(replay, EVACUATED)
    replay.run_until(replay.now_s + 20)
    members = {
        member.failure_domain
        for decision in decided(replay, FormGroup)
        for member in decision.members
    }
    assert ZONE not in members
    assert not replay.runners.rule_violations


def test_models_share_the_runners_that_are_left(replay) -> None:
    """Groups end elsewhere for the model that needs their runners."""
    only_quads = {'pair': 1, 'quad': 4}
    replay.demand = only_quads
    replay.run_until(replay.now_s + 30)
    evacuate(replay, EVACUATED)
    replay.demand = DEMAND
    replay.run_until(replay.now_s + 30)
    assert max(replay.utilization().values()) <= MAX_UTILIZATION


def test_capacity_is_back_when_the_domain_returns(replay) -> None:
    before = replay.utilization()
    evacuate(replay, EVACUATED)
    replay.run_until(replay.now_s + 20)
    evacuate(replay, Evacuations(9))
    assert max(replay.utilization().values()) <= max(before.values())
    replay.run_until(replay.now_s + 5)
    assert max(replay.utilization().values()) <= max(before.values())
    assert leaders_in(replay, ZONE)
    assert not replay.runners.rule_violations


@pytest.mark.parametrize('after_s', [0.1, 0.5, 1.5, 3])
def test_domain_may_return_at_any_moment(replay, after_s) -> None:
    before = len(replay.runners.leaders())
    evacuate(replay, EVACUATED)
    replay.run_until(replay.now_s + after_s)
    evacuate(replay, Evacuations(9))
    replay.run_until(replay.now_s + 8)
    assert len(list(replay.runners.complete_groups())) >= before - 1
    assert not replay.runners.rule_violations


@pytest.mark.parametrize('seed', range(3))
def test_third_of_the_fleet_leaves_and_returns(seed: int) -> None:
    """Commands are late, lost or doubled meanwhile."""
    rng = random.Random(seed)
    replay = small_fleet(
        LARGE_DOMAINS, DOMAIN_SIZE, LARGE_DEMAND, lambda: rng.choice(DELAYS)
    )
    replay.run_until(2 * SETTLED_S)
    before = len(replay.runners.leaders())
    gone = frozenset(f'zone-{number}' for number in range(LARGE_DOMAINS // 3))
    evacuate(replay, Evacuations(5, gone))
    replay.run_until(replay.now_s + 20)
    assert len(replay.runners.leaders()) >= before
    assert max(replay.utilization().values()) < MAX_UTILIZATION
    evacuate(replay, Evacuations(9))
    assert max(replay.utilization().values()) < MAX_UTILIZATION
    replay.run_until(replay.now_s + 10)
    assert max(replay.utilization().values()) < MAX_UTILIZATION
    assert not replay.runners.rule_violations


def test_capacity_is_formed_elsewhere_at_once() -> None:
    replay = small_fleet(domains=2, size=2, demand={'pair': 2})
    free = replay.runners.alive.pop('r003')
    replay.run_until(SETTLED_S)
    assert len(replay.runners.leaders()) == 1
    replay.runners.alive[free.name] = free
    evacuate(replay, Evacuations(5, frozenset(('zone-0',))))
    replay.step()
    assert decided(replay, FormGroup)
    assert not decided(replay, CloseGroup)


def test_evacuated_groups_do_not_count() -> None:
    """The model that lost its only group came after the others."""
    replay = small_fleet(domains=2, size=6, demand={'quad': 4, 'pair': 0.5})
    alive = replay.runners.alive
    for lost in ('r004', 'r005'):
        alive.pop(lost)
    free = [alive.pop(name) for name in ('r008', 'r009', 'r010', 'r011')]
    replay.run_until(SETTLED_S)
    assert replay.utilization() == {'quad': 4, 'pair': 0.5}
    replay.demand = {'quad': 1, 'pair': 1.5}
    alive.update({runner.name: runner for runner in free})
    evacuate(replay, Evacuations(5, frozenset(('zone-0',))))
    replay.step()
    formed = [decision.model for decision in decided(replay, FormGroup)]
    assert formed == ['quad']


def test_group_that_is_being_formed_stands_by(replay) -> None:
    """It must not count as capacity before its domain returns."""
    for number in range(200, 204):
        added = loaded_runner(number, 1)
        replay.runners.alive[added.name] = evolve(added, staged_models=())
    replay.step()
    formed = decided(replay, FormGroup)[-1]
    evacuate(replay, EVACUATED)
    replay.run_until(replay.now_s + LOADED_WITHIN_S)
    left = [decision.key for decision in decided(replay, LeaveGroup)]
    assert formed.key not in left
    assert formed.key in replay.runners.leaders()
    without = replay.utilization()
    evacuate(replay, Evacuations(9))
    assert replay.utilization()[formed.model] < without[formed.model]
