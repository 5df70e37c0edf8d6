"""A clock that is moved from event to event."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]
_Entry = tuple[float, int, Action]


class Timeline:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        self._now_s: float = 0
        self._numbers = itertools.count()
        self._actions: list[_Entry] = []

    def clock(self) -> float:
        """Return the present time, seconds."""
        return self._now_s

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time; actions of one time keep their order."""
        entry = (time_s, next(self._numbers), action)
        heapq.heappush(self._actions, entry)

    def run(self, end_s: float) -> None:
        """Run all actions until ``end_s``."""
        while self._actions and self._actions[0][0] <= end_s:
            time_s, _, action = heapq.heappop(self._actions)
            self._now_s = time_s
            action()
        self._now_s = end_s
