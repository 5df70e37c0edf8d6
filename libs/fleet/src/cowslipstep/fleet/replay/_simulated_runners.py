"""Simulated runners that carry out commands."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetDecision,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from cowslipstep.fleet._engines import EngineProfile, ModelProfile
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    GroupId,
    GroupPosition,
    MemberState,
)
from cowslipstep.model import Address

SERVICE = 'drafting'
REJOIN_TIME_S = 0.2
# Requests that run when their group closes end after this time.
CLOSE_S = 1.5
# A leader that makes no progress for this time is broken.
STALL_TIMEOUT_S = 4
_SERVING_STATES = frozenset((MemberState.open, MemberState.closing))
_FIRST_PORT = 1000


@frozen
class StateChange:
    """A change of a runner's state in a group, made without a command."""

    at_s: float
    name: str
    key: GroupId
    before: MemberState
    after: MemberState


@frozen
class EndOfLoad:
    """The weights of a model that are then on a runner's host."""

    at_s: float
    name: str
    model: str


@frozen
class SentCommand:
    """A command in flight to one runner."""

    at_s: float
    name: str
    rank: int
    term: int
    decision: FleetDecision


@define
class SimulatedRunners:  # noqa: WPS214
    """State of the simulated runners, and the violations of their rules.

    Attributes
    ----------
    engine
        Models that the runners serve.
    load_factor
        Factor of the time of loads from the weight store.
    staging_factor
        Factor of that time in addition if the runner joins no group.
    alive
        Runners by name.
    """

    engine: EngineProfile
    load_factor: float = 1
    staging_factor: float = 1
    alive: dict[str, DiscoveredRunner] = field(factory=dict)
    member_lists: dict[GroupId, tuple[str, ...]] = field(factory=dict)
    rule_violations: list[str] = field(factory=list)
    pending_changes: list[StateChange] = field(factory=list)
    _loads: list[EndOfLoad] = field(factory=list)
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
            case LeaveGroup(key, _) if runner.group_id == key:
                self.alive[runner.name] = evolve(runner, group_position=None)
            case StageModel(_, model):
                load_s = self.staging_factor * self._load_s(model)
                self._loads.append(
                    EndOfLoad(command.at_s + load_s, runner.name, model)
                )

    def pass_time(self, now_s: float) -> None:
        """Apply state changes that are due; break leaders that have stalled."""
        for load in self._take_due_loads(now_s):
            runner = self.alive.get(load.name)
            if runner is not None:
                self.alive[load.name] = evolve(
                    runner, staged_models=(load.model,)
                )
        due = [
            change for change in self.pending_changes if change.at_s <= now_s
        ]
        self.pending_changes = [
            change for change in self.pending_changes if change not in due
        ]
        for change in due:
            self._apply_change(change)
        self._break_stalled(now_s)

    def leaders(self) -> dict[GroupId, DiscoveredRunner]:
        """Return the leaders that accept or finish requests, by group."""
        return {
            runner.group_id: runner
            for runner in self.alive.values()
            if runner.group_position
            and runner.group_id
            and _is_serving(runner.group_position)
        }

    def complete_groups(self) -> Iterator[tuple[GroupId, DiscoveredRunner]]:
        """Yield the open groups that make progress, with their leaders."""
        for key, leader in self.leaders().items():
            if _is_in(leader, key, MemberState.open) and self.has_all(key):
                yield key, leader

    def has_all(self, key: GroupId) -> bool:
        """Return whether all members of a group live and are still in it."""
        members = map(self.alive.get, self.member_lists[key])
        return all(member and member.group_id == key for member in members)

    def _take_due_loads(self, now_s: float) -> list[EndOfLoad]:
        due = [load for load in self._loads if load.at_s <= now_s]
        self._loads = [load for load in self._loads if load.at_s > now_s]
        return due

    def _break_stalled(self, now_s: float) -> None:
        for key, leader in self.leaders().items():
            if self.has_all(key):
                self._stalled_since_s.pop(key, None)
                continue
            since_s = self._stalled_since_s.setdefault(key, now_s)
            if now_s - since_s >= STALL_TIMEOUT_S:
                self._set_state(leader, MemberState.broken)

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
        ready_after_s = self._join_s(runner, decision.model)
        if decision.model not in (
            *runner.loaded_models,
            *runner.staged_models,
        ):
            ready_at_s = command.at_s + ready_after_s
            self._loads.append(
                EndOfLoad(ready_at_s, runner.name, decision.model)
            )
        self.alive[runner.name] = evolve(
            runner,
            loaded_models=(decision.model,),
            group_position=group_position,
        )
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
        assert runner.group_position is not None  # noqa: S101
        self.alive[runner.name] = evolve(
            runner, group_position=evolve(runner.group_position, state=state)
        )

    def _join_s(self, runner: DiscoveredRunner, model: str) -> float:
        """Return the time to join a group of a model, seconds."""
        if model in runner.loaded_models:
            return REJOIN_TIME_S
        if model in runner.staged_models:
            return self._profile(model).staged_load_s
        return self._load_s(model)

    def _load_s(self, model: str) -> float:
        return self.load_factor * self._profile(model).load_s

    def _profile(self, model: str) -> ModelProfile:
        profile = self.engine.model(model)
        if profile is None:
            raise ValueError(f'expected a model of the engine, got {model!r}')
        return profile


def runner_of(
    number: int,
    domain: int,
    slots: int,
    loaded: tuple[str, ...] = (),
    staged: tuple[str, ...] = (),
) -> DiscoveredRunner:
    """Return a runner in a fabric domain; its host may hold weights."""
    return DiscoveredRunner(
        name='r{number:03}'.format(number=number),
        service=SERVICE,
        address=Address('127.0.0.1', _FIRST_PORT + number),
        failure_domain=f'zone-{domain}',
        slots=slots,
        fabric_domain=f'domain-{domain}',
        loaded_models=loaded,
        staged_models=staged,
    )


def _is_serving(group_position: GroupPosition) -> bool:
    return group_position.rank == 0 and group_position.state in _SERVING_STATES


def _is_in(runner: DiscoveredRunner, key: GroupId, state: MemberState) -> bool:
    group_position = runner.group_position
    return group_position is not None and (
        runner.group_id,
        group_position.state,
    ) == (key, state)
