"""A fleet of runners that obeys a keeper, with orders that come late or never.

Runners follow the published rules of the engines: a join replaces the
membership, orders of an older epoch or term are refused, and a head stands
still once a member has left it.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

from _engine_cases import engine_of
from attrs import define, evolve, field, frozen

from cowslipstep.fleet import (
    CloseGroup,
    DiscoveredRunner,
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

Key = tuple[str, int]

STEP_S = 0.1
REJOIN_S = 0.2
# Requests that run end within this time after their group has closed.
DRAIN_S = 1.5
# A head that stands still is broken after this time.
STALL_S = 4
# Loads do not count before the first requests come.
UNPACED_S = 4

PAIR = ServedModel('pair', group_size=2, share=0.6, load_s=12, warm_s=1.1)
QUAD = ServedModel('quad', group_size=4, share=0.4, load_s=16, warm_s=1.6)
ENGINE = engine_of(PAIR, QUAD, loads_per_s=1, loads_at_once=4)
AT_WORK = frozenset((SeatState.open, SeatState.closing))


@frozen
class Ripening:
    """A runner's own change of state within a group, once it is due."""

    at_s: float
    name: str
    key: Key
    before: SeatState
    after: SeatState


@frozen
class Order:
    """An order on its way to one runner."""

    at_s: float
    name: str
    rank: int
    term: int
    step: FleetDecision


@define
class Runners:  # noqa: WPS214
    """The runners as they are, and what they did against the rules."""

    alive: dict[str, DiscoveredRunner] = field(factory=dict)
    lists: dict[Key, tuple[str, ...]] = field(factory=dict)
    broken_rules: list[str] = field(factory=list)
    ripening: list[Ripening] = field(factory=list)
    _terms: dict[str, int] = field(factory=dict)
    _been_ready: set[tuple[str, Key]] = field(factory=set)
    _still_s: dict[Key, float] = field(factory=dict)

    def obey(self, order: Order) -> None:
        """Carry out an order unless it is for another life or too old."""
        runner = self.alive.get(order.name)
        newest = max(order.term, self._terms.get(order.name, 0))
        if runner is None or order.term < newest:
            return
        self._terms[order.name] = newest
        match order.step:
            case FormGroup():
                self._join(runner, order, order.step)
            case OpenGroup(key, _) if _is_in(runner, key, SeatState.ready):
                self._open(runner, key)
            case CloseGroup(key, _) if _is_in(runner, key, SeatState.open):
                self._set(runner, SeatState.closing)
                self._begin(order, key, SeatState.closing, DRAIN_S)
            case LeaveGroup(key, _) if _belongs(runner, key):
                self.alive[runner.name] = evolve(runner, seat=None)
            case StageModel(_, model):
                self.alive[runner.name] = evolve(runner, staged=(model,))

    def pass_time(self, now_s: float) -> None:
        """Let states change that are due, and heads that stand still break."""
        due = [change for change in self.ripening if change.at_s <= now_s]
        self.ripening = [one for one in self.ripening if one not in due]
        for change in due:
            self._ripen(change)
        for key, head in self.heads().items():
            members = map(self.alive.get, self.lists[key])
            if all(member and _belongs(member, key) for member in members):
                self._still_s.pop(key, None)
            elif now_s - self._still_s.setdefault(key, now_s) >= STALL_S:
                self._set(head, SeatState.broken)

    def heads(self) -> dict[Key, DiscoveredRunner]:
        """Return the heads that take or finish requests."""
        return {
            runner.seat.key: runner
            for runner in self.alive.values()
            if runner.seat and _is_at_work(runner.seat)
        }

    def _join(
        self,
        runner: DiscoveredRunner,
        order: Order,
        step: FormGroup,
    ) -> None:
        members = tuple(member.name for member in step.members)
        if runner.seat and runner.seat.epoch >= step.key[1]:
            return
        if runner.seat and runner.seat.key in self.heads():
            self.broken_rules.append(f'TWO: {runner.name} joins {step.key}')
        self.lists[step.key] = members
        seat = Seat(*step.key, order.rank, SeatState.joining)
        self.alive[runner.name] = evolve(
            runner,
            loaded=(step.model,),
            seat=seat,
        )
        takes_s = _join_s(runner, step.model)
        self._begin(order, step.key, SeatState.joining, takes_s)

    def _open(self, runner: DiscoveredRunner, key: Key) -> None:
        for name in self.lists[key]:
            if (name, key) not in self._been_ready:
                self.broken_rules.append(f'PARTIAL: {key} without {name}')
        self._set(runner, SeatState.open)

    def _ripen(self, change: Ripening) -> None:
        runner = self.alive.get(change.name)
        if runner and _is_in(runner, change.key, change.before):
            self._set(runner, change.after)
            self._been_ready.add((change.name, change.key))

    def _begin(
        self,
        order: Order,
        key: Key,
        before: SeatState,
        after_s: float,
    ) -> None:
        self.ripening.append(
            Ripening(
                order.at_s + after_s,
                order.name,
                key,
                before,
                SeatState.ready,
            ),
        )

    def _set(self, runner: DiscoveredRunner, state: SeatState) -> None:
        self.alive[runner.name] = _seated(runner, state)


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
    delays
        Returns when an order comes to its runner, seconds after it was
        given: never, once or several times.
    """

    domains: int
    size: int
    demand: Mapping[str, float]
    delays: Callable[[], tuple[float, ...]] = lambda: (0,)
    now_s: float = 0
    term: int = 1
    runners: Runners = field(factory=Runners)
    decisions: list[FleetDecision] = field(factory=list)
    _keeper: FleetKeeper = field(factory=lambda: FleetKeeper(1))
    _orders: list[Order] = field(factory=list)
    _members: dict = field(factory=lambda: defaultdict(dict))

    def __attrs_post_init__(self) -> None:
        """Start all runners; each host holds the weights of both models."""
        for number in range(self.domains * self.size):
            added = runner_of(number, number // self.size)
            self.runners.alive[added.name] = added

    def run_until(self, end_s: float) -> None:
        """Let time pass."""
        while self.now_s < end_s:
            self.now_s += STEP_S
            due = [order for order in self._orders if order.at_s <= self.now_s]
            self._orders = [one for one in self._orders if one not in due]
            for order in due:
                self.runners.obey(order)
            self.runners.pass_time(self.now_s)
            for decision in self._keeper.decide(self._view()):
                self.decisions.append(decision)
                for delay_s in self.delays():
                    self.send(decision, self.now_s + delay_s)

    def crash(self, model: str, rank: int = 1) -> None:
        """Lose a member of the first group of a model for good."""
        members = [
            runner.name
            for runner in self.runners.alive.values()
            if runner.seat
            and runner.seat.rank == rank
            and model in runner.loaded
        ]
        if members:
            self.runners.alive.pop(min(members))

    def replace_keeper(self) -> None:
        """Let another daemon take the lease."""
        self.term += 1
        self._keeper = FleetKeeper(self.term)

    def busy(self) -> dict[str, float]:
        """Return the part of its groups that each model's requests fill."""
        counts = Counter(
            head.loaded[0] for head in self.runners.heads().values()
        )
        return {
            model: demand / counts[model] if counts[model] else math.inf
            for model, demand in self.demand.items()
        }

    def send(self, decision: FleetDecision, at_s: float) -> None:
        """Let a decision come to its runners at a clock reading."""
        for rank, name in enumerate(_addressed(decision)):
            self._orders.append(Order(at_s, name, rank, self.term, decision))

    def _view(self) -> FleetView:
        alive = dict(self.runners.alive)
        for runner in alive.values():
            if runner.seat:
                self._members[runner.seat.key][runner.seat.rank] = runner
        return FleetView(
            alive,
            ENGINE,
            self.now_s,
            self.demand,
            members=self._members,
            paced=self.now_s > UNPACED_S,
        )


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


def _addressed(decision: FleetDecision) -> tuple[str, ...]:
    match decision:
        case FormGroup(_, _, members):
            return tuple(member.name for member in members)
        case OpenGroup(_, runner) | CloseGroup(_, runner):
            return (runner.name,)
        case LeaveGroup(_, runner) | StageModel(runner, _):
            return (runner.name,)


def _seated(runner: DiscoveredRunner, state: SeatState) -> DiscoveredRunner:
    assert runner.seat is not None
    return evolve(runner, seat=evolve(runner.seat, state=state))


def _is_at_work(seat: Seat) -> bool:
    return seat.rank == 0 and seat.state in AT_WORK


def _belongs(runner: DiscoveredRunner, key: Key) -> bool:
    return runner.seat is not None and runner.seat.key == key


def _is_in(runner: DiscoveredRunner, key: Key, state: SeatState) -> bool:
    seat = runner.seat
    return seat is not None and (seat.key, seat.state) == (key, state)


def _join_s(runner: DiscoveredRunner, model: str) -> float:
    """Return the time to join a group of a model, seconds."""
    served = ENGINE.model(model)
    assert served is not None
    if model in runner.loaded:
        return REJOIN_S
    return served.warm_s if model in runner.staged else served.load_s
