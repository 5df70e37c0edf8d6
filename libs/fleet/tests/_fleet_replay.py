"""A fleet of runners that obeys the keeper; replays failures under load."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

from attrs import define, evolve, field, frozen

from cowslipstep.fleet import (
    CloseGroup,
    DiscoveredRunner,
    EngineProfile,
    FleetDecision,
    FleetKeeper,
    FleetView,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    Seat,
    SeatState,
    ServedModel,
    StageModel,
)
from cowslipstep.model import Address

STEP_S = 0.1
REJOIN_S = 0.2
# Requests that run end within this time after their group has closed.
DRAIN_S = 1.5
# Loads do not count before the first requests come.
UNPACED_S = 4

PAIR = ServedModel('pair', group_size=2, share=0.6, load_s=12, warm_s=1.1)
QUAD = ServedModel('quad', group_size=4, share=0.4, load_s=16, warm_s=1.6)
ENGINE = EngineProfile(
    slots=9,
    models=(PAIR, QUAD),
    step_s=0.0078,
    sequence_step_s=0.0002,
    prefill_tokens_per_s=45900,
    stride=5,
    loads_per_s=1,
    loads_at_once=4,
    usual_output_tokens=150,
)


@frozen
class Change:
    """What a runner is like from some moment on."""

    at_s: float
    runner: DiscoveredRunner


@define
class FleetReplay:
    """Runners in fabric domains, and the keeper that orders them.

    Parameters
    ----------
    domains
        Number of fabric domains.
    size
        Runners of each.
    demand
        Groups that requests keep busy, by model.
    """

    domains: int
    size: int
    demand: Mapping[str, float]
    now_s: float = 0
    runners: dict[str, DiscoveredRunner] = field(factory=dict)
    decisions: list[FleetDecision] = field(factory=list)
    _keeper: FleetKeeper = field(factory=lambda: FleetKeeper(1))
    _due: list[Change] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Start all runners; each host holds the weights of both models."""
        for number in range(self.domains * self.size):
            added = runner_of(number, number // self.size)
            self.runners[added.name] = added

    def run_until(self, end_s: float) -> None:
        """Let time pass."""
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._settle()
            for decision in self._keeper.decide(self._view()):
                self.decisions.append(decision)
                self._due.extend(effects(decision, self.runners, self.now_s))

    def crash(self, model: str) -> None:
        """Lose the last member of the first group of a model for good."""
        members = [
            runner.name
            for runner in self.runners.values()
            if runner.seat and runner.seat.rank and model in runner.loaded
        ]
        self.runners.pop(min(members))

    def busy(self) -> dict[str, float]:
        """Return the part of its groups that each model's requests fill."""
        counts = self.counts()
        return {
            model: demand / counts[model] if counts[model] else math.inf
            for model, demand in self.demand.items()
        }

    def counts(self) -> Counter[str]:
        """Return the number of groups of each model that serve."""
        return Counter(
            runner.loaded[0]
            for runner in self.runners.values()
            if runner.seat and runner.seat.state is SeatState.open
        )

    def _view(self) -> FleetView:
        members: dict = defaultdict(dict)
        for runner in self.runners.values():
            if runner.seat:
                members[runner.seat.key][runner.seat.rank] = runner
        return FleetView(
            dict(self.runners),
            ENGINE,
            self.now_s,
            self.demand,
            members=dict(members),
            paced=self.now_s > UNPACED_S,
        )

    def _settle(self) -> None:
        due = [change for change in self._due if change.at_s <= self.now_s]
        self._due = [change for change in self._due if change not in due]
        changed = {change.runner.name: change.runner for change in due}
        for name in changed.keys() & self.runners.keys():
            self.runners[name] = changed[name]


def runner_of(number: int, domain: int) -> DiscoveredRunner:
    return DiscoveredRunner(
        name='r{number:03}'.format(number=number),
        service='drafting',
        address=Address('127.0.0.1', 1000 + number),
        failure_domain=f'zone-{domain}',
        slots=ENGINE.slots,
        fabric_domain=f'domain-{domain}',
        loaded=('pair',),
        staged=('quad',),
    )


def effects(
    decision: FleetDecision,
    runners: Mapping[str, DiscoveredRunner],
    now_s: float,
) -> Iterator[Change]:
    """Yield what a decision makes of runners, and when."""
    match decision:
        case FormGroup(key, model, members):
            for rank, member in enumerate(members):
                seat = Seat(*key, rank, SeatState.joining)
                yield from join(runners[member.name], model, seat, now_s)
        case OpenGroup(key, head):
            yield take_seat(runners[head.name], key, SeatState.open, now_s)
        case CloseGroup(key, head):
            closing = runners[head.name]
            empty_s = now_s + DRAIN_S
            yield take_seat(closing, key, SeatState.closing, now_s)
            yield take_seat(closing, key, SeatState.ready, empty_s)
        case LeaveGroup(_, left):
            yield Change(now_s, evolve(runners[left.name], seat=None))
        case StageModel(host, model):
            yield Change(now_s, evolve(runners[host.name], staged=(model,)))


def join(
    runner: DiscoveredRunner,
    model: str,
    seat: Seat,
    now_s: float,
) -> Iterator[Change]:
    """Yield the states of a runner that joins a group."""
    served = ENGINE.model(model)
    assert served is not None
    takes_s = served.load_s
    if model in runner.loaded:
        takes_s = REJOIN_S
    elif model in runner.staged:
        takes_s = served.warm_s
    joined = evolve(runner, loaded=(model,), seat=seat)
    yield Change(now_s, joined)
    ready = evolve(seat, state=SeatState.ready)
    yield Change(now_s + takes_s, evolve(joined, seat=ready))


def take_seat(
    runner: DiscoveredRunner,
    key: tuple[str, int],
    state: SeatState,
    at_s: float,
) -> Change:
    """Return the runner in another state of the group that it reports."""
    assert runner.seat is not None
    assert runner.seat.key == key
    return Change(at_s, evolve(runner, seat=evolve(runner.seat, state=state)))
