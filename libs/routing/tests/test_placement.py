"""Replay of many daemons that place requests by old loads."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque

import pytest
from attrs import define, field

from cowslipstep.fleet import DiscoveredRunner, ServingGroup
from cowslipstep.model import Address
from cowslipstep.model.loads import UpstreamLoad
from cowslipstep.routing import ByFreeSlots, GroupView, LeastTime, Placement
from cowslipstep.routing._placement import choose_view

SLOTS = 7
MEAN_RUN_S = 1.6
DURATION_S = 15
# Loads reach hundreds of daemons by relays.
GROUPS = 65
AGE_S = 0.4
LEADER = DiscoveredRunner('r', 's', Address('127.0.0.1', 1), 'n', SLOTS)
# Predicted time of a free slot, and for each request that waits for one.
STEP_S = 0.001
SLOT_INTERVAL_S = MEAN_RUN_S / SLOTS


@define
class Fleet:
    """Groups whose loads reach the daemons after some time."""

    groups: int
    age_s: float
    loads: list[int] = field(init=False)
    # Times of earlier changes of a load: group and difference.
    changes: deque = field(factory=deque)
    seen: list[int] = field(init=False)
    ends: list[tuple[float, int]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.loads = list(itertools.repeat(0, self.groups))
        self.seen = list(self.loads)

    def change(self, now_s: float, group: int, difference: int) -> None:
        """Change a load; the daemons see it later."""
        self.loads[group] += difference
        self.changes.append((now_s, group, difference))

    def advance(self, now_s: float) -> None:
        """End requests, and let the daemons see what is old enough."""
        while self.ends and self.ends[0][0] <= now_s:
            ended_s, group = heapq.heappop(self.ends)
            self.change(ended_s, group, -1)
        latest_s = now_s - self.age_s
        while self.changes and self.changes[0][0] <= latest_s:
            _, group, difference = self.changes.popleft()
            self.seen[group] += difference

    def views(self) -> list[tuple[float, GroupView]]:
        """Return the groups as the daemons see them."""
        return [
            (predicted_s(requests), view_of(number, requests))
            for number, requests in enumerate(self.seen)
        ]

    def start(self, now_s: float, group: int, run_s: float) -> bool:
        """Start a request; return whether it waits for a slot."""
        waiting = max(0, self.loads[group] + 1 - SLOTS)
        end_s = now_s + waiting * SLOT_INTERVAL_S + run_s
        heapq.heappush(self.ends, (end_s, group))
        self.change(now_s, group, 1)
        return waiting > 0


def predicted_s(requests: int) -> float:
    waiting = max(0, requests + 1 - SLOTS)
    return requests * STEP_S + waiting * SLOT_INTERVAL_S


def view_of(number: int, requests: int) -> GroupView:
    group = ServingGroup(str(number), number, 'm', (LEADER,))
    return GroupView(group, UpstreamLoad(str(number), requests))


def waiting_share(placement: Placement, utilization: float) -> float:
    """Return the share of requests that find no free slot."""
    rng = random.Random(1)
    fleet = Fleet(GROUPS, AGE_S)
    now_s: float = 0
    waited = []
    while now_s < DURATION_S:
        now_s += rng.expovariate(utilization * GROUPS / SLOT_INTERVAL_S)
        fleet.advance(now_s)
        chosen = choose_view(fleet.views(), placement, rng)[1].group.epoch
        waited.append(
            fleet.start(now_s, chosen, MEAN_RUN_S * rng.uniform(0.4, 1.6))
        )
    return sum(waited) / len(waited)


@pytest.mark.parametrize('utilization', [0.5, 0.7])
def test_old_loads_need_a_random_choice(utilization: float) -> None:
    least = waiting_share(LeastTime(), utilization)
    assert waiting_share(ByFreeSlots(SLOTS), utilization) < least / 2


def test_full_groups_are_chosen_by_time() -> None:
    fleet = Fleet(2, 0)
    fleet.seen = [SLOTS + 5, SLOTS]
    chosen = choose_view(fleet.views(), ByFreeSlots(SLOTS), random.Random(1))
    assert chosen[1].group.name == '1'
