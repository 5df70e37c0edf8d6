"""Races of three controllers for the lease of one fabric domain.

Controllers pause at any call, hosts fail, and commands and updates of the
ledger are lost or arrive late. The test fails if a host is in two groups, if
two controllers may send commands at once, or if a command of an earlier lease
holder takes effect.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator

import pytest
from attrs import define, field, frozen
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cowslipstep.groups import (
    AssignCommand,
    DomainLease,
    DomainLedger,
    DomainView,
    HostCommand,
    HostRecord,
    HostReport,
    HostState,
    LeaseTiming,
    LedgerConflict,
    LedgerUnavailable,
    LedgerWriter,
    LedgerWriterIdentity,
    VersionedLedger,
    acquire_lease,
    due_commands,
    maintain_ledger,
    plan_domain,
    release_lease,
)
from cowslipstep.model import (
    Address,
    CowslipstepError,
    Fencing,
    Model,
    Runner,
)

CASES = 1000
STEPS = 25
MAX_FLIGHT_S = 2
HOSTS = ('h0', 'h1', 'h2', 'h3', 'h4')
MODELS = (Model('drafting', hosts_per_group=2, groups=2),)
CONTROLLERS = st.integers(0, 2)
DELAYS = st.sampled_from((0.25, 1, 2.5, 4, 11))
# Events during a pause of a controller: delays and steps of other controllers.
PAUSES = st.lists(
    st.lists(
        st.one_of(DELAYS, CONTROLLERS.map(lambda index: (index,))),
        max_size=5,
    ),
    max_size=4,
)
ANSWERS = st.lists(
    st.sampled_from(('ok', 'ok', 'lost', 'dropped', 'late')),
    max_size=3,
)


@frozen
class SentCommand:
    """A command in flight."""

    command: HostCommand
    fencing_token: int
    term: int
    arrives_by_s: float


@define
class Engine:
    """A host with an engine that carries commands out."""

    runner: Runner
    group: str = ''
    fencing_token: int = 0
    term: int = 0
    alive: bool = True

    def record(self, now_s: float) -> HostRecord:
        if not self.alive:
            return HostRecord(misses=3)
        state = HostState.ready if self.group else HostState.idle
        host = self.runner.host
        return HostRecord(
            HostReport(
                host, self.group, state, now_s, fencing_token=self.fencing_token
            ),
        )


@define
class World:
    """Clock, store and engines that the controllers share."""

    fencing: Fencing
    now_s: float = 100
    stored: VersionedLedger = VersionedLedger(1, DomainLedger('fab'))
    engines: dict[str, Engine] = field(init=False)
    sent: list[SentCommand] = field(factory=list)
    late_writes: list[VersionedLedger] = field(factory=list)
    answers: list[str] = field(factory=list)
    pauses: list = field(factory=list)
    controllers: list[Controller] = field(factory=list)
    newest_term: int = 0

    def __attrs_post_init__(self) -> None:
        address = Address('127.0.0.1', 1)
        self.engines = {
            host: Engine(
                Runner(host, address, 'fd', 'fab', fencing=self.fencing),
            )
            for host in HOSTS
        }

    def pause(self) -> None:
        """Run the events of the next pause, as if the caller were paused."""
        if not self.pauses:
            return
        for event in self.pauses.pop():
            match event:
                case (index,):
                    self.controllers[index].step()
                case delay_s:
                    self.advance(delay_s)

    def advance(self, delay_s: float) -> None:
        self.now_s += delay_s
        for sent in tuple(self.sent):
            if sent.arrives_by_s <= self.now_s:
                self.deliver(sent)

    def read(self) -> VersionedLedger:
        self.pause()
        _raise_if_dropped(self.answers)
        current = self.stored
        self.pause()
        return current

    def write(self, version: int, ledger: DomainLedger) -> int:
        self.pause()
        _raise_if_dropped(self.answers)
        answer = self.answers.pop() if self.answers else 'ok'
        if answer == 'late':
            self.late_writes.append(VersionedLedger(version, ledger))
            raise LedgerUnavailable('update not yet in effect')
        written = self.apply(VersionedLedger(version, ledger))
        self.pause()
        if answer == 'lost':
            raise LedgerUnavailable('response of the store lost')
        if not written:
            raise LedgerConflict('ledger has another version')
        return version + 1

    def apply(self, change: VersionedLedger) -> bool:
        if change.version != self.stored.version:
            return False
        self.stored = VersionedLedger(change.version + 1, change.ledger)
        members = list(
            itertools.chain.from_iterable(
                group.members for group in change.ledger.groups
            ),
        )
        assert len(members) == len(set(members)), 'a host is in two groups'
        return True

    def deliver(self, sent: SentCommand) -> None:
        self.sent.remove(sent)
        engine = self.engines[sent.command.runner.host]
        checked = self.fencing == Fencing.checked
        if not engine.alive or (
            checked and sent.fencing_token < engine.fencing_token
        ):
            return
        newest = engine.term if checked else self.newest_term
        assert sent.term >= newest, 'a command of an earlier holder took effect'
        engine.fencing_token = max(engine.fencing_token, sent.fencing_token)
        engine.term = sent.term
        self.newest_term = sent.term
        engine.group = ''
        if isinstance(sent.command, AssignCommand):
            engine.group = sent.command.group.name


def _raise_if_dropped(answers: list[str]) -> None:
    if answers and answers[-1] == 'dropped':
        answers.pop()
        raise LedgerUnavailable('call dropped')


class Controller:
    """Simulated controller that takes the steps of the one of a daemon."""

    def __init__(self, world: World, name: str) -> None:
        self._world = world
        numbers = itertools.count()
        identity = LedgerWriterIdentity(
            name,
            lambda: f'{name}-{next(numbers)}',
            lambda: world.now_s,
        )
        flight_s = MAX_FLIGHT_S if world.fencing == Fencing.ignored else 0
        self.lease = DomainLease(
            LedgerWriter(identity, world),
            lambda: world.now_s,
            LeaseTiming(command_flight_s=flight_s),
        )
        self._busy = False
        self._holds_lease = False

    def step(self) -> None:
        if self._busy:
            return
        self._busy = True
        try:
            self._holds_lease = self._run_round()
        except LedgerUnavailable:
            self._holds_lease = False
        finally:
            self._busy = False

    def release(self) -> None:
        if not self._busy:
            self._holds_lease = False
            try:
                release_lease(self.lease)
            except CowslipstepError:
                return

    def _run_round(self) -> bool:
        lease = self.lease
        if not self._holds_lease:
            lease.refresh()
            if not acquire_lease(lease):
                return False
        planned = plan_domain(self._view(), MODELS)
        if not maintain_ledger(lease, planned, self._world.now_s):
            return False
        for command in self._commands():
            self._world.pause()
            self._send(command)
        return True

    def _view(self) -> DomainView:
        engines = self._world.engines
        now = self._world.now_s
        return DomainView(
            self.lease.state.versioned_ledger.ledger,
            tuple(engine.runner for engine in engines.values()),
            {host: engine.record(now) for host, engine in engines.items()},
            now,
        )

    def _commands(self) -> Iterator[HostCommand]:
        view = self._view()
        state = self.lease.state
        return due_commands(
            state.versioned_ledger.ledger,
            view.runners,
            view.records,
            state.term,
        )

    def _send(self, command: HostCommand) -> None:
        state = self.lease.state
        if not self.lease.may_command:
            return
        world = self._world
        arrives_by_s = world.now_s + MAX_FLIGHT_S
        if world.fencing == Fencing.checked:
            arrives_by_s = float('inf')
        fencing_token = state.versioned_ledger.version
        world.sent.append(
            SentCommand(command, fencing_token, state.term, arrives_by_s)
        )


class FaultsMachine(RuleBasedStateMachine):
    """Lets time pass, hosts fail, and commands and updates arrive late."""

    fencing = Fencing.checked
    cases = 0

    def __init__(self) -> None:
        super().__init__()
        type(self).cases += 1
        self._world = World(self.fencing)
        self._world.controllers = [
            Controller(self._world, f'c{index}') for index in range(3)
        ]

    @rule(delay_s=DELAYS)
    def advance(self, delay_s: float) -> None:
        self._world.advance(delay_s)

    @rule(choice=st.integers(0, 9))
    def deliver_command(self, choice: int) -> None:
        if self._world.sent:
            sent = self._world.sent
            self._world.deliver(sent[choice % len(sent)])

    @rule()
    def land_late_write(self) -> None:
        if self._world.late_writes:
            self._world.apply(self._world.late_writes.pop())

    @rule(host=st.sampled_from(HOSTS))
    def kill_or_revive(self, host: str) -> None:
        engine = self._world.engines[host]
        engine.alive = not engine.alive


class ControllersMachine(FaultsMachine):
    """Controllers race; engines check fencing tokens."""

    @rule(index=CONTROLLERS, pauses=PAUSES, answers=ANSWERS)
    def step(self, index: int, pauses: list, answers: list[str]) -> None:
        self._world.pauses = pauses
        self._world.answers = answers
        self._world.controllers[index].step()
        self._world.pauses = []

    @rule(index=CONTROLLERS, answers=ANSWERS)
    def release(self, index: int, answers: list[str]) -> None:
        self._world.answers = answers
        self._world.controllers[index].release()

    @invariant()
    def one_holder(self) -> None:
        """At most one controller may send commands at any time."""
        controllers = self._world.controllers
        assert (
            sum(controller.lease.may_command for controller in controllers) <= 1
        )


class IgnoringMachine(ControllersMachine):
    """Controllers race; engines ignore fencing tokens."""

    fencing = Fencing.ignored


@pytest.mark.parametrize('machine', [ControllersMachine, IgnoringMachine])
def test_races(machine: type[ControllersMachine]) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=CASES,
            stateful_step_count=STEPS,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )
    assert machine.cases >= CASES
