"""Tasks that are restarted after a failure, and periodic tasks."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field
from greenlet import GreenletExit
from loguru import logger

_RESTART_DELAY_S = 1
# A task that runs for this time has recovered from its last failure.
_RECOVERY_S = 5
# Consecutive failures after which a task counts as broken.
_FAILURES_UNTIL_BROKEN = 3


@define
class _TaskHealth:
    """How a task fares.

    Attributes
    ----------
    started_at_s
        Clock reading at its last start.
    ended
        Whether it has ended and was not started again.
    failures
        Consecutive failures without a recovery.
    broken_since_s
        Clock reading at the failure that made it broken; ``None`` if it is
        not.
    """

    started_at_s: float
    ended: bool = False
    failures: int = 0
    broken_since_s: float | None = None

    def record_start(self, now_s: float) -> None:
        """Record that the task runs."""
        self.started_at_s = now_s
        self.ended = False

    def record_end(self, now_s: float) -> None:
        """Record that the task has ended."""
        self.ended = True
        if now_s - self.started_at_s >= _RECOVERY_S:
            self.failures = 0
            self.broken_since_s = None
        self.failures += 1
        if self.failures >= _FAILURES_UNTIL_BROKEN:
            self.broken_since_s = self.broken_since_s or now_s

    def broken_for_s(self, now_s: float) -> float:
        """Return for how long the task has been broken, seconds."""
        recovered = not self.ended and now_s - self.started_at_s >= _RECOVERY_S
        if self.broken_since_s is None or recovered:
            return 0
        return now_s - self.broken_since_s


@define
class SupervisedTasks:
    """Tasks that are run again whenever they end, and how they fare."""

    _clock: Callable[[], float] = time.monotonic
    _health: dict[str, _TaskHealth] = field(factory=dict)

    def start(
        self, name: str, run: Callable[[], None], *, essential: bool = True
    ) -> Any:
        """Start a task that is run again whenever it ends.

        A failure is logged with its traceback. Returns the green thread of
        the task; one that is killed is no longer supervised.

        Parameters
        ----------
        name
            Name of the task in log lines.
        run
            Work of the task; it should not return.
        essential
            Whether the program cannot do its work without the task.
        """
        health = _TaskHealth(self._clock())
        if essential:
            self._health[name] = health
        return eventlet.spawn(self._supervise, name, run, health)

    def broken(self) -> dict[str, float]:
        """Return for how long essential tasks have been broken, seconds.

        A task is broken if it has ended several times in a row and has not
        run for a while since.
        """
        now_s = self._clock()
        broken_for_s = {
            name: health.broken_for_s(now_s)
            for name, health in self._health.items()
        }
        return {name: time_s for name, time_s in broken_for_s.items() if time_s}

    def _supervise(
        self, name: str, run: Callable[[], None], health: _TaskHealth
    ) -> None:
        try:
            while True:
                self._run_once(name, run, health)
                eventlet.sleep(_RESTART_DELAY_S)
        except GreenletExit:
            # Killed on purpose; another task may have taken the name since.
            if self._health.get(name) is health:
                self._health.pop(name)

    def _run_once(
        self, name: str, run: Callable[[], None], health: _TaskHealth
    ) -> None:
        health.record_start(self._clock())
        try:
            run()
        except (Exception, eventlet.Timeout):
            logger.exception('task {} failed and is restarted', name)
        else:
            logger.warning('task {} ended and is restarted', name)
        health.record_end(self._clock())


# Tasks of a program that has no set of its own.
TASKS = SupervisedTasks()


def start_task(name: str, run: Callable[[], None]) -> Any:
    """Start a task that is run again whenever it ends.

    Parameters
    ----------
    name
        Name of the task in log lines.
    run
        Work of the task; it should not return.

    See Also
    --------
    SupervisedTasks.start
    """
    return TASKS.start(name, run)


def repeat(period_s: float, step: Callable[[], None]) -> Callable[[], None]:
    """Return a function that runs ``step`` each ``period_s`` seconds."""

    def run() -> None:  # noqa: WPS430
        while True:
            step()
            eventlet.sleep(period_s)

    return run
