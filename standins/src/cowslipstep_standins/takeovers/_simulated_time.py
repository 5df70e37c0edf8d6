"""Simulated time for green threads that sleep."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable
from typing import Any, Protocol

import eventlet
from eventlet.event import Event

STEP_S = 0.05
_SWITCHES_PER_STEP = 8
_switch = eventlet.sleep


class Patches(Protocol):
    """Replaces attributes of modules until some later moment."""

    def setattr(self, target: Any, name: str, replacement: Any) -> None:
        """Replace an attribute."""


class SimulatedTime:
    """Monotonic clock and sleep of all green threads of a process.

    Parameters
    ----------
    patches
        Replaces the clock and the functions that sleep.
    """

    def __init__(self, patches: Patches) -> None:
        self.now_s: float = 0
        self._sleepers: list[tuple[float, int, Event]] = []
        self._numbers = itertools.count()
        patches.setattr(time, 'monotonic', lambda: self.now_s)
        patches.setattr(eventlet, 'sleep', self.sleep)
        patches.setattr(eventlet, 'spawn_after', self._spawn_after)

    def sleep(self, delay_s: float = 0) -> None:
        """Sleep in simulated time."""
        if delay_s <= 0:
            _switch(0)
            return
        waking = Event()
        entry = (self.now_s + delay_s, next(self._numbers), waking)
        heapq.heappush(self._sleepers, entry)
        waking.wait()

    def run_until(self, end_s: float) -> None:
        """Let time pass."""
        while self.now_s < end_s:
            self.now_s = round(self.now_s + STEP_S, 3)
            while self._sleepers and self._sleepers[0][0] <= self.now_s:
                heapq.heappop(self._sleepers)[2].send()
            for _ in range(_SWITCHES_PER_STEP):
                _switch(0)

    def _spawn_after(
        self, delay_s: float, run: Callable[..., Any], *arguments: Any
    ) -> Any:
        def run_late() -> None:  # noqa: WPS430
            self.sleep(delay_s)
            run(*arguments)

        return eventlet.spawn(run_late)
