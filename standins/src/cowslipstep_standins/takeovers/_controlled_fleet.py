"""Controllers that come and go before runners, in simulated time."""

from __future__ import annotations

import contextlib
import random
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import eventlet
from cowslipstep_standins.takeovers._aging_store import AgingStore, StoreClient
from cowslipstep_standins.takeovers._controlling_daemon import (
    Daemon,
    start_daemon,
)
from cowslipstep_standins.takeovers._group_commands import (
    CommandEncoding,
    GroupCommands,
)
from cowslipstep_standins.takeovers._grouped_runners import GroupedRunners
from cowslipstep_standins.takeovers._simulated_time import SimulatedTime
from attrs import define, field, frozen

from cowslipstep.serving import _command_sender

RUNNERS = 8
# A clock reading of zero stands for never.
_STARTED_S = 10
_FORMED_AFTER_S = 8
_RARE_SHARE = 0.3
_PAUSES_S = (0, 0.2, 0.5, 1, 2)
_READ_DELAYS_S = (0.05, 0.05, 0.8, 1)
_LATE_SHARES = (0, 0, 0.2)


@define
class ControlledFleet:
    """Daemons of which one decides at a time, and what befalls them."""

    clock: SimulatedTime
    store: AgingStore
    runners: GroupedRunners
    commands: GroupCommands
    chance: random.Random
    encoding: CommandEncoding = field(factory=CommandEncoding)
    daemons: list[Daemon] = field(factory=list)

    def start(self) -> None:
        """Start all runners, and two daemons."""
        for _ in range(RUNNERS):
            self.runners.start_one()
        self.start_daemon()
        self.start_daemon()

    def start_daemon(self) -> None:
        """Start a daemon."""
        client = StoreClient(self.store)
        name = f'd{len(self.daemons)}'
        self.daemons.append(start_daemon(name, client, self.encoding))

    def stop_holder(self) -> None:
        """Stop the controller as planned: it gives its lease back."""
        for daemon in self.daemons:
            if daemon.state.is_controller:
                daemon.state.stopping = True
                eventlet.spawn_after(1, daemon.kill)

    def kill_holder(self) -> None:
        """Kill the controller."""
        for daemon in self.daemons:
            if daemon.state.is_controller:
                daemon.kill()

    def kill_all(self) -> None:
        """Kill all daemons."""
        for daemon in self.daemons:
            daemon.kill()

    @contextlib.contextmanager
    def respond(self, request: Any) -> Iterator[Any]:
        """Yield the response to a command."""
        yield self.encoding.carry_out(self.commands, request)

    def play(self, until_s: float) -> None:
        """Let things happen at random until a moment."""
        usual = (
            self.stop_holder,
            self.start_daemon,
            self.runners.drain_one,
            self.runners.start_one,
        )
        rare = (
            self.kill_holder,
            self.kill_all,
            self.store.forget,
            self.store.restore,
        )
        while self.clock.now_s < until_s:
            is_rare = self.chance.random() < _RARE_SHARE
            self.chance.choice(rare if is_rare else usual)()
            pause_s = self.chance.choice(_PAUSES_S)
            self.clock.run_until(self.clock.now_s + pause_s)


@frozen
class StackedPatches:
    """Replaces attributes until a stack is closed."""

    stack: contextlib.ExitStack

    def setattr(self, target: Any, name: str, replacement: Any) -> None:
        """Replace an attribute."""
        self.stack.enter_context(mock.patch.object(target, name, replacement))


@contextlib.contextmanager
def patched() -> Iterator[StackedPatches]:
    """Yield what replaces attributes until the end of the block."""
    with contextlib.ExitStack() as stack:
        yield StackedPatches(stack)


@contextlib.contextmanager
def controlled_fleet(seed: int) -> Iterator[ControlledFleet]:
    """Yield a fleet whose groups are formed, then end its daemons."""
    with patched() as patches:
        clock = SimulatedTime(patches)
        clock.now_s = _STARTED_S
        # For the delays that daemons draw themselves.
        random.seed(seed)
        patches.setattr(time, 'clock_gettime', lambda _clock: clock.now_s)
        fleet = _new_fleet(clock, random.Random(seed))  # noqa: S311
        patches.setattr(_command_sender, 'open_response', fleet.respond)
        fleet.start()
        clock.run_until(_STARTED_S + _FORMED_AFTER_S)
        yield fleet
        fleet.kill_all()


def _new_fleet(clock: SimulatedTime, chance: random.Random) -> ControlledFleet:
    store = AgingStore(clock, chance, chance.choice(_READ_DELAYS_S))
    runners = GroupedRunners(store, chance)
    late_share = chance.choice(_LATE_SHARES)
    commands = GroupCommands(runners, late_share)
    return ControlledFleet(clock, store, runners, commands, chance)
