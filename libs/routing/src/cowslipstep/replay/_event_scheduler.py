"""Discrete-event scheduler with a simulated clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]
_ScheduledAction = tuple[float, int, Action]


class EventScheduler:
    """Runs actions in the order of their simulated times."""

    def __init__(self) -> None:
        self._now_s: float = 0
        self._sequence_numbers = itertools.count()
        self._actions: list[_ScheduledAction] = []

    def clock(self) -> float:
        """Return the simulated time, seconds."""
        return self._now_s

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time; actions of equal times keep their order."""
        scheduled = (time_s, next(self._sequence_numbers), action)
        heapq.heappush(self._actions, scheduled)

    def run_until(self, end_s: float) -> None:
        """Run all actions until ``end_s``."""
        while self._actions and self._actions[0][0] <= end_s:
            time_s, _, action = heapq.heappop(self._actions)
            self._now_s = time_s
            action()
        self._now_s = end_s
