"""A fleet of runners that obeys a planner; commands come late or never.

Runners follow the published rules of the engines: a join replaces the
membership, commands of an older epoch or term are refused, and a leader stands
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
    FleetPlanner,
    FleetView,
    FormGroup,
    GroupPosition,
    LeaveGroup,
    MemberState,
    ModelProfile,
    OpenGroup,
    StageModel,
)
from cowslipstep.model import Address

Key = tuple[str, int]

STEP_S = 0.1
REJOIN_S = 0.2
# Requests that run end within this time after their group has closed.
DRAIN_S = 1.5
# A leader that stands still is broken after this time.
STALL_S = 4
# Loads do not count before the first requests come.
UNPACED_S = 4

PAIR = ModelProfile('pair', group_size=2, share=0.6, load_s=12, warm_s=1.1)
QUAD = ModelProfile('quad', group_size=4, share=0.4, load_s=16, warm_s=1.6)
ENGINE = engine_of(PAIR, QUAD, loads_per_s=1, loads_at_once=4)
AT_WORK = frozenset((MemberState.open, MemberState.closing))


@frozen
class Ripening:
    """A runner's own change of state within a group, once it is due."""

    at_s: float
    name: str
    key: Key
    before: MemberState
    after: MemberState


@frozen
class SentCommand:
    """A command on its way to one runner."""

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

    def obey(self, command: SentCommand) -> None:
        """Carry out a command unless it is for another life or too old."""
        runner = self.alive.get(command.name)
        newest = max(command.term, self._terms.get(command.name, 0))
        if runner is None or command.term < newest:
            return
        self._terms[command.name] = newest
        match command.step:
            case FormGroup():
                self._join(runner, command, command.step)
            case OpenGroup(key, _) if _is_in(runner, key, MemberState.ready):
                self._open(runner, key)
            case CloseGroup(key, _) if _is_in(runner, key, MemberState.open):
                self._set(runner, MemberState.closing)
                self._begin(command, key, MemberState.closing, DRAIN_S)
            case LeaveGroup(key, _) if _belongs(runner, key):
                self.alive[runner.name] = evolve(runner, group_position=None)
            case StageModel(_, model):
                self.alive[runner.name] = evolve(runner, staged=(model,))

    def pass_time(self, now_s: float) -> None:
        """Change the states that are due; leaders that stand still break."""
        due = [change for change in self.ripening if change.at_s <= now_s]
        self.ripening = [one for one in self.ripening if one not in due]
        for change in due:
            self._ripen(change)
        for key, leader in self.leaders().items():
            members = map(self.alive.get, self.lists[key])
            if all(member and _belongs(member, key) for member in members):
                self._still_s.pop(key, None)
            elif now_s - self._still_s.setdefault(key, now_s) >= STALL_S:
                self._set(leader, MemberState.broken)

    def leaders(self) -> dict[Key, DiscoveredRunner]:
        """Return the leaders that take or finish requests."""
        return {
            runner.group_position.key: runner
            for runner in self.alive.values()
            if runner.group_position and _is_at_work(runner.group_position)
        }

    def _join(
        self,
        runner: DiscoveredRunner,
        command: SentCommand,
        step: FormGroup,
    ) -> None:
        members = tuple(member.name for member in step.members)
        if runner.group_position and runner.group_position.epoch >= step.key[1]:
            return
        if (
            runner.group_position
            and runner.group_position.key in self.leaders()
        ):
            self.broken_rules.append(f'TWO: {runner.name} joins {step.key}')
        self.lists[step.key] = members
        group_position = GroupPosition(
            *step.key, command.rank, MemberState.joining
        )
        self.alive[runner.name] = evolve(
            runner,
            loaded=(step.model,),
            group_position=group_position,
        )
        takes_s = _join_s(runner, step.model)
        self._begin(command, step.key, MemberState.joining, takes_s)

    def _open(self, runner: DiscoveredRunner, key: Key) -> None:
        for name in self.lists[key]:
            if (name, key) not in self._been_ready:
                self.broken_rules.append(f'PARTIAL: {key} without {name}')
        self._set(runner, MemberState.open)

    def _ripen(self, change: Ripening) -> None:
        runner = self.alive.get(change.name)
        if runner and _is_in(runner, change.key, change.before):
            self._set(runner, change.after)
            self._been_ready.add((change.name, change.key))

    def _begin(
        self,
        command: SentCommand,
        key: Key,
        before: MemberState,
        after_s: float,
    ) -> None:
        self.ripening.append(
            Ripening(
                command.at_s + after_s,
                command.name,
                key,
                before,
                MemberState.ready,
            ),
        )

    def _set(self, runner: DiscoveredRunner, state: MemberState) -> None:
        self.alive[runner.name] = _seated(runner, state)


@define
class FleetReplay:
    """Runners in fabric domains, and the planner that commands them.

    Parameters
    ----------
    domains
        Number of fabric domains.
    size
        Runners of each.
    demand
        Groups that requests keep busy, by model.
    delays
        Returns when a command comes to its runner, seconds after it was
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
    _planner: FleetPlanner = field(factory=lambda: FleetPlanner(1))
    _commands: list[SentCommand] = field(factory=list)
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
            due = [
                command
                for command in self._commands
                if command.at_s <= self.now_s
            ]
            self._commands = [one for one in self._commands if one not in due]
            for command in due:
                self.runners.obey(command)
            self.runners.pass_time(self.now_s)
            for decision in self._planner.decide(self._view()):
                self.decisions.append(decision)
                for delay_s in self.delays():
                    self.send(decision, self.now_s + delay_s)

    def crash(self, model: str, rank: int = 1) -> None:
        """Lose a member of the first group of a model for good."""
        members = [
            runner.name
            for runner in self.runners.alive.values()
            if runner.group_position
            and runner.group_position.rank == rank
            and model in runner.loaded
        ]
        if members:
            self.runners.alive.pop(min(members))

    def replace_planner(self) -> None:
        """Let another daemon take the lease."""
        self.term += 1
        self._planner = FleetPlanner(self.term)

    def busy(self) -> dict[str, float]:
        """Return the part of its groups that each model's requests fill."""
        counts = Counter(
            leader.loaded[0] for leader in self.runners.leaders().values()
        )
        return {
            model: demand / counts[model] if counts[model] else math.inf
            for model, demand in self.demand.items()
        }

    def send(self, decision: FleetDecision, at_s: float) -> None:
        """Let a decision come to its runners at a clock reading."""
        for rank, name in enumerate(_addressed(decision)):
            self._commands.append(
                SentCommand(at_s, name, rank, self.term, decision)
            )

    def _view(self) -> FleetView:
        alive = dict(self.runners.alive)
        for runner in alive.values():
            if runner.group_position:
                self._members[runner.group_position.key][
                    runner.group_position.rank
                ] = runner
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


def _seated(runner: DiscoveredRunner, state: MemberState) -> DiscoveredRunner:
    assert runner.group_position is not None
    return evolve(
        runner, group_position=evolve(runner.group_position, state=state)
    )


def _is_at_work(group_position: GroupPosition) -> bool:
    return group_position.rank == 0 and group_position.state in AT_WORK


def _belongs(runner: DiscoveredRunner, key: Key) -> bool:
    return (
        runner.group_position is not None and runner.group_position.key == key
    )


def _is_in(runner: DiscoveredRunner, key: Key, state: MemberState) -> bool:
    group_position = runner.group_position
    return group_position is not None and (
        group_position.key,
        group_position.state,
    ) == (key, state)


def _join_s(runner: DiscoveredRunner, model: str) -> float:
    """Return the time to join a group of a model, seconds."""
    served = ENGINE.model(model)
    assert served is not None
    if model in runner.loaded:
        return REJOIN_S
    return served.warm_s if model in runner.staged else served.load_s
