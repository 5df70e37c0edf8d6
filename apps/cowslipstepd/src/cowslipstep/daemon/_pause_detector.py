"""Notices that the whole process was paused."""

from __future__ import annotations

import time
from collections.abc import Callable

_TICK_S = 0.1
_REMEMBERED_S = 1


class PauseDetector:
    """Knows how long the process was paused most recently.

    A message that came during a pause is read after it, as if it were new;
    its age is at most the pause plus the time since it was read.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> now_s = [0]
    >>> watch = PauseWatch(lambda: now_s[0])
    >>> now_s[0] = 8
    >>> watch.recent_pause_s()
    8
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._ticked_s = clock()
        self._pause_s: float = 0
        self._ended_s = self._ticked_s

    def run(self, sleep: Callable[[float], None]) -> None:
        """Look at the clock until the task ends."""
        while True:
            sleep(_TICK_S)
            self.tick()

    def tick(self) -> None:
        """Note that the process runs."""
        now_s = self._clock()
        gap_s = now_s - self._ticked_s
        if gap_s > 2 * _TICK_S:
            self._pause_s = gap_s
            self._ended_s = now_s
        self._ticked_s = now_s

    def recent_pause_s(self) -> float:
        """Return the length of a pause that ended just now; zero for none."""
        now_s = self._clock()
        gap_s = now_s - self._ticked_s
        if gap_s > 2 * _TICK_S:
            return gap_s
        if now_s - self._ended_s < _REMEMBERED_S:
            return self._pause_s
        return 0
