"""Simulated fleet of runners under a planner, with late or lost commands.

Runners follow the published rules of the engines: a runner that joins a group
leaves its former one, commands of an older epoch or term are refused, and a
leader makes no progress once a member has left its group.
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
    Epochs,
    FleetDecision,
    FleetPlanner,
    FleetView,
    FormGroup,
    GroupId,
    GroupPosition,
    LeaveGroup,
    MemberState,
    ModelProfile,
    OpenGroup,
    StageModel,
)
from cowslipstep.model import Address

SERVICE = 'drafting'
STEP_S = 0.1
REJOIN_TIME_S = 0.2
# Requests that run when their group closes end after this time.
CLOSE_S = 1.5
# A leader that makes no progress for this time is broken.
STALL_TIMEOUT_S = 4
# Loads of weights are not limited before the first requests arrive.
UNLIMITED_LOADS_S = 4

PAIR = ModelProfile(
    'pair', group_size=2, share=0.6, load_s=12, staged_load_s=1.1
)
QUAD = ModelProfile(
    'quad', group_size=4, share=0.4, load_s=16, staged_load_s=1.6
)
ENGINE = engine_of(PAIR, QUAD, loads_per_s=1, loads_at_once=4)
SERVING_STATES = frozenset((MemberState.open, MemberState.closing))


@frozen
class StateChange:
    """A change of a runner's state in a group, made without a command."""

    at_s: float
    name: str
    key: GroupId
    before: MemberState
    after: MemberState


@frozen
class SentCommand:
    """A command in flight to one runner."""

    at_s: float
    name: str
    rank: int
    term: int
    decision: FleetDecision


@define
class Runners:  # noqa: WPS214
    """State of the simulated runners, and the violations of their rules."""

    alive: dict[str, DiscoveredRunner] = field(factory=dict)
    member_lists: dict[GroupId, tuple[str, ...]] = field(factory=dict)
    rule_violations: list[str] = field(factory=list)
    pending_changes: list[StateChange] = field(factory=list)
    _terms: dict[str, int] = field(factory=dict)
    _was_ready: set[tuple[str, GroupId]] = field(factory=set)
    _stalled_since_s: dict[GroupId, float] = field(factory=dict)

    def carry_out(self, command: SentCommand) -> None:
        """Carry out a command unless its runner is gone or its term too old."""
        runner = self.alive.get(command.name)
        newest_term = max(command.term, self._terms.get(command.name, 0))
        if runner is None or command.term < newest_term:
            return
        self._terms[command.name] = newest_term
        match command.decision:
            case FormGroup():
                self._join(runner, command, command.decision)
            case OpenGroup(key, _) if _is_in(runner, key, MemberState.ready):
                self._open(runner, key)
            case CloseGroup(key, _) if _is_in(runner, key, MemberState.open):
                self._set_state(runner, MemberState.closing)
                self._schedule_ready(command, key, MemberState.closing, CLOSE_S)
            case LeaveGroup(key, _) if _is_member(runner, key):
                self.alive[runner.name] = evolve(runner, group_position=None)
            case StageModel(_, model):
                self.alive[runner.name] = evolve(runner, staged_models=(model,))

    def pass_time(self, now_s: float) -> None:
        """Apply state changes that are due; break leaders that have stalled."""
        due = [
            change for change in self.pending_changes if change.at_s <= now_s
        ]
        self.pending_changes = [
            change for change in self.pending_changes if change not in due
        ]
        for change in due:
            self._apply_change(change)
        for key, leader in self.leaders().items():
            members = map(self.alive.get, self.member_lists[key])
            if all(member and _is_member(member, key) for member in members):
                self._stalled_since_s.pop(key, None)
            elif (
                now_s - self._stalled_since_s.setdefault(key, now_s)
                >= STALL_TIMEOUT_S
            ):
                self._set_state(leader, MemberState.broken)

    def leaders(self) -> dict[GroupId, DiscoveredRunner]:
        """Return the leaders that accept or finish requests, by group."""
        return {
            runner.group_id: runner
            for runner in self.alive.values()
            if runner.group_position and _is_serving(runner.group_position)
        }

    def _join(
        self,
        runner: DiscoveredRunner,
        command: SentCommand,
        decision: FormGroup,
    ) -> None:
        members = tuple(member.name for member in decision.members)
        if (
            runner.group_position
            and runner.group_position.epoch >= decision.key.epoch
        ):
            return
        if runner.group_position and runner.group_id in self.leaders():
            self.rule_violations.append(
                f'TWO: {runner.name} joins {decision.key}'
            )
        self.member_lists[decision.key] = members
        group_position = GroupPosition(
            decision.key.name,
            decision.key.epoch,
            command.rank,
            MemberState.joining,
        )
        self.alive[runner.name] = evolve(
            runner,
            loaded_models=(decision.model,),
            group_position=group_position,
        )
        ready_after_s = _join_s(runner, decision.model)
        self._schedule_ready(
            command, decision.key, MemberState.joining, ready_after_s
        )

    def _open(self, runner: DiscoveredRunner, key: GroupId) -> None:
        for name in self.member_lists[key]:
            if (name, key) not in self._was_ready:
                self.rule_violations.append(f'PARTIAL: {key} without {name}')
        self._set_state(runner, MemberState.open)

    def _apply_change(self, change: StateChange) -> None:
        runner = self.alive.get(change.name)
        if runner and _is_in(runner, change.key, change.before):
            self._set_state(runner, change.after)
            self._was_ready.add((change.name, change.key))

    def _schedule_ready(
        self,
        command: SentCommand,
        key: GroupId,
        before: MemberState,
        after_s: float,
    ) -> None:
        self.pending_changes.append(
            StateChange(
                command.at_s + after_s,
                command.name,
                key,
                before,
                MemberState.ready,
            ),
        )

    def _set_state(self, runner: DiscoveredRunner, state: MemberState) -> None:
        self.alive[runner.name] = _with_state(runner, state)


@define
class FleetReplay:
    """Simulated runners in fabric domains, and the planner that commands them.

    Parameters
    ----------
    domains
        Number of fabric domains.
    size
        Runners of each fabric domain.
    demand
        Number of groups that the requests keep busy, by model.
    delays
        Returns the delays after which a command reaches its runner, seconds;
        none if it is lost, several if it is duplicated.
    """

    domains: int
    size: int
    demand: Mapping[str, float]
    delays: Callable[[], tuple[float, ...]] = lambda: (0,)
    now_s: float = 0
    term: int = 1
    runners: Runners = field(factory=Runners)
    decisions: list[FleetDecision] = field(factory=list)
    _planner: FleetPlanner = field(
        factory=lambda: FleetPlanner(SERVICE, Epochs(1))
    )
    _commands: list[SentCommand] = field(factory=list)
    _members: dict = field(factory=lambda: defaultdict(dict))

    def __attrs_post_init__(self) -> None:
        """Start all runners; each host has the weights of both models."""
        for number in range(self.domains * self.size):
            added = runner_of(number, number // self.size)
            self.runners.alive[added.name] = added

    def run_until(self, end_s: float) -> None:
        """Advance the clock in steps; deliver commands, send new decisions."""
        while self.now_s < end_s:
            self.now_s += STEP_S
            due = [
                command
                for command in self._commands
                if command.at_s <= self.now_s
            ]
            self._commands = [
                command for command in self._commands if command not in due
            ]
            for command in due:
                self.runners.carry_out(command)
            self.runners.pass_time(self.now_s)
            for decision in self._planner.decide(self._view()):
                self.decisions.append(decision)
                for delay_s in self.delays():
                    self.send(decision, self.now_s + delay_s)

    def crash(self, model: str, rank: int = 1) -> None:
        """Remove a member with that rank of some group of a model for good."""
        members = [
            runner.name
            for runner in self.runners.alive.values()
            if runner.group_position
            and runner.group_position.rank == rank
            and model in runner.loaded_models
        ]
        if members:
            self.runners.alive.pop(min(members))

    def replace_planner(self) -> None:
        """Start a planner of the next term, as after a change of the lease."""
        self.term += 1
        self._planner = FleetPlanner(SERVICE, Epochs(self.term))

    def utilization(self) -> dict[str, float]:
        """Return the demand for each model per group that serves it."""
        counts = Counter(
            leader.loaded_models[0]
            for leader in self.runners.leaders().values()
        )
        return {
            model: demand / counts[model] if counts[model] else math.inf
            for model, demand in self.demand.items()
        }

    def send(self, decision: FleetDecision, at_s: float) -> None:
        """Send a decision, which reaches its runners at a clock reading."""
        for rank, name in enumerate(_addressees(decision)):
            self._commands.append(
                SentCommand(at_s, name, rank, self.term, decision)
            )

    def _view(self) -> FleetView:
        alive = dict(self.runners.alive)
        for runner in alive.values():
            if runner.group_position:
                self._members[runner.group_id][runner.group_position.rank] = (
                    runner
                )
        return FleetView(
            alive,
            ENGINE,
            self.now_s,
            self.demand,
            known_members=self._members,
            load_limits_apply=self.now_s > UNLIMITED_LOADS_S,
        )


def runner_of(number: int, domain: int) -> DiscoveredRunner:
    return DiscoveredRunner(
        name='r{number:03}'.format(number=number),
        service=SERVICE,
        address=Address('127.0.0.1', 1000 + number),
        failure_domain=f'zone-{domain}',
        slots=ENGINE.slots,
        fabric_domain=f'domain-{domain}',
        loaded_models=('pair',),
        staged_models=('quad',),
    )


def _addressees(decision: FleetDecision) -> tuple[str, ...]:
    match decision:
        case FormGroup(_, _, members):
            return tuple(member.name for member in members)
        case OpenGroup(_, runner) | CloseGroup(_, runner):
            return (runner.name,)
        case LeaveGroup(_, runner) | StageModel(runner, _):
            return (runner.name,)


def _with_state(
    runner: DiscoveredRunner, state: MemberState
) -> DiscoveredRunner:
    assert runner.group_position is not None
    return evolve(
        runner, group_position=evolve(runner.group_position, state=state)
    )


def _is_serving(group_position: GroupPosition) -> bool:
    return group_position.rank == 0 and group_position.state in SERVING_STATES


def _is_member(runner: DiscoveredRunner, key: GroupId) -> bool:
    return runner.group_position is not None and runner.group_id == key


def _is_in(runner: DiscoveredRunner, key: GroupId, state: MemberState) -> bool:
    group_position = runner.group_position
    return group_position is not None and (
        runner.group_id,
        group_position.state,
    ) == (key, state)


def _join_s(runner: DiscoveredRunner, model: str) -> float:
    """Return the time to join a group of a model, seconds."""
    served = ENGINE.model(model)
    assert served is not None
    if model in runner.loaded_models:
        return REJOIN_TIME_S
    return (
        served.staged_load_s if model in runner.staged_models else served.load_s
    )
