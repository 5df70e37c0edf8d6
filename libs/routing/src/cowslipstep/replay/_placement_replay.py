"""Replay of requests that are placed by old reports on the load of groups."""

from __future__ import annotations

import random
from collections import deque

from attrs import define, field, frozen

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupId,
    ServingGroup,
)
from cowslipstep.model import Address
from cowslipstep.model.loads import UpstreamLoad
from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.routing import (
    GroupView,
    ModelTimes,
    OnTime,
    RequestDemand,
    admit_request,
)
from cowslipstep.routing._placement import (
    ChooseGroup,
    TimedGroup,
    less_loaded_of_two,
)

_REPORT_PERIOD_S = 0.08
# Age of the reports on which daemons decide.
_REPORT_AGES_S = (0.08, 0.2)
_KEPT_REPORTS = 6
_SERVICE = 'drafting'
_ADDRESS = Address('127.0.0.1', 1)
_FORMER_JITTER_S = 0.01
_ANY_TIME_S = 1000


@frozen
class PlacementCase:
    """Requests for one model.

    Parameters
    ----------
    times
        Times of its groups.
    groups
        Number of its groups.
    requests_per_s
        Mean rate of requests; they arrive at random.
    held_s
        Mean time for which a request holds its slot.
    length_s
        Time for which requests arrive, seconds.
    seed
        Seed of all that is random.
    """

    times: ModelTimes
    groups: int
    requests_per_s: float
    held_s: float = 0.95
    length_s: float = 30
    seed: int = 0

    @property
    def slots(self) -> int:
        """Slots of a group."""
        return self.times.engine.slots

    @property
    def demand(self) -> RequestDemand:
        """Demand of each request; any group begins it in time."""
        prompt_tokens = int(self.times.usual.prompt_tokens)
        return RequestDemand(prompt_tokens, 0, _ANY_TIME_S, _ANY_TIME_S)


def waiting_share(
    case: PlacementCase, choose: ChooseGroup = less_loaded_of_two
) -> float:
    """Return the share of the requests that wait for a slot."""
    replay = _PlacementReplay(case, choose)
    replay.play()
    return replay.waited / replay.placed


def soonest_with_jitter(
    on_time: list[TimedGroup], rng: random.Random
) -> TimedGroup:
    """Return the group of the former decision: any with a free slot."""
    return min(
        on_time,
        key=lambda entry: entry.expected_s + rng.uniform(0, _FORMER_JITTER_S),
    )


@frozen
class _Report:
    """Number of requests at each group at one time."""

    at_s: float
    requests: list[int]


@define
class _PlacementReplay:
    case: PlacementCase
    choose: ChooseGroup
    placed: int = 0
    waited: int = 0
    _scheduler: EventScheduler = field(factory=EventScheduler)
    _requests: list[int] = field(init=False)
    _reports: deque[_Report] = field(init=False)
    _groups: list[ServingGroup] = field(init=False)
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.case.seed)
        self._requests = [0 for _ in range(self.case.groups)]
        self._reports = deque([_Report(0, list(self._requests))], _KEPT_REPORTS)
        self._groups = [_group(number) for number in range(self.case.groups)]

    def play(self) -> None:
        """Let requests arrive and end."""
        self._scheduler.schedule(0, self._report)
        self._scheduler.schedule(0, self._arrive)
        self._scheduler.run_until(self.case.length_s)

    def _report(self) -> None:
        now_s = self._scheduler.clock()
        self._reports.append(_Report(now_s, list(self._requests)))
        self._scheduler.schedule(now_s + _REPORT_PERIOD_S, self._report)

    def _arrive(self) -> None:
        pause_s = self._rng.expovariate(self.case.requests_per_s)
        self._scheduler.schedule(
            self._scheduler.clock() + pause_s, self._arrive
        )
        number = self._place()
        self._requests[number] += 1
        # A request that waits for a slot holds its place longer.
        waiting = max(0, self._requests[number] - self.case.slots)
        self.placed += 1
        self.waited += waiting > 0
        held_s = self._rng.expovariate(1 / self.case.held_s)
        self._scheduler.schedule(
            self._scheduler.clock()
            + held_s
            + waiting * self.case.held_s / self.case.slots,
            lambda: self._end(number),
        )

    def _end(self, number: int) -> None:
        self._requests[number] -= 1

    def _place(self) -> int:
        admission = admit_request(
            map(_view, self._groups, self._known_requests()),
            self.case.demand,
            self.case.times,
            self._rng,
            self.choose,
        )
        match admission:
            case OnTime(view):
                return view.group.group_id.epoch
        raise ValueError(f'expected a group, got {admission}')

    def _known_requests(self) -> list[int]:
        """Return the requests at each group by a report of random age."""
        known_s = self._scheduler.clock() - self._rng.uniform(*_REPORT_AGES_S)
        known = self._reports[0]
        for report in self._reports:
            if report.at_s <= known_s:
                known = report
        return known.requests


def _view(group: ServingGroup, requests: int) -> GroupView:
    return GroupView(group, UpstreamLoad(group.group_id.name, requests))


def _group(number: int) -> ServingGroup:
    name = f'g{number}'
    leader = DiscoveredRunner(name, _SERVICE, _ADDRESS, 'north', 1)
    return ServingGroup(GroupId(_SERVICE, name, number), name, (leader,))
