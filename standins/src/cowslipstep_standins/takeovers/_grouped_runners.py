"""Runners that register themselves at a store, in simulated time."""

from __future__ import annotations

import random

import eventlet
from cowslipstep_standins.takeovers._aging_store import AgingStore
from cowslipstep_standins.takeovers._grouped_runner import GroupedRunner
from attrs import define, field

from cowslipstep.platform import ObjectKey

RUNNERS_KIND = 'runners'
HEARTBEAT_S = 1.2
_MAX_REPORT_DELAY_S = 0.2
# From the report that a runner drains to its end.
_DRAIN_S = 3


@define
class GroupedRunners:
    """All runners of a fleet.

    Attributes
    ----------
    store
        Where they register.
    chance
        Draws delays.
    lives
        All runners by name, also those that are gone.
    """

    store: AgingStore
    chance: random.Random
    lives: dict[str, GroupedRunner] = field(factory=dict)

    def start_one(self, number: int | None = None) -> GroupedRunner:
        """Start a runner, which registers itself; its port is its number."""
        runner = GroupedRunner(number or len(self.lives) + 1)
        self.lives[runner.name] = runner
        self.report(runner)
        eventlet.spawn(self._beat, runner)
        return runner

    def drain_one(self) -> None:
        """Let a runner leave as planned."""
        runner = self.chance.choice(tuple(self.lives.values()))
        runner.draining = True
        self.report(runner)
        eventlet.spawn_after(_DRAIN_S, self._leave, runner)

    def report(self, runner: GroupedRunner) -> None:
        """Write the entry of a runner a moment later."""
        delay_s = self.chance.uniform(0, _MAX_REPORT_DELAY_S)
        eventlet.spawn_after(delay_s, self._write, runner)

    def _write(self, runner: GroupedRunner) -> None:
        if not runner.is_gone:
            key = ObjectKey(RUNNERS_KIND, runner.name)
            self.store.put(key, runner.document())

    def _beat(self, runner: GroupedRunner) -> None:
        while not runner.is_gone:
            eventlet.sleep(HEARTBEAT_S)
            self._write(runner)

    def _leave(self, runner: GroupedRunner) -> None:
        runner.is_gone = True
        self.store.remove(ObjectKey(RUNNERS_KIND, runner.name))
