"""Detection that the whole process was paused."""

from __future__ import annotations

import time
from collections.abc import Callable

_TICK_PERIOD_S = 0.1
_RECENT_PAUSE_S = 1


class PauseDetector:
    """Measures the most recent pause of the process.

    A message that arrived during a pause is read after it and seems new.
    Its age is at most the length of the pause plus the time since it was
    read.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> now_s = [0]
    >>> detector = PauseDetector(lambda: now_s[0])
    >>> now_s[0] = 8
    >>> detector.recent_pause_s()
    8
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._ticked_at_s = clock()
        self._pause_s: float = 0
        self._pause_ended_at_s = self._ticked_at_s

    def run(self, sleep: Callable[[float], None]) -> None:
        """Call ``tick`` periodically, forever."""
        while True:
            sleep(_TICK_PERIOD_S)
            self.tick()

    def tick(self) -> None:
        """Record that the process runs now; a long gap was a pause."""
        now_s = self._clock()
        gap_s = now_s - self._ticked_at_s
        if gap_s > 2 * _TICK_PERIOD_S:
            self._pause_s = gap_s
            self._pause_ended_at_s = now_s
        self._ticked_at_s = now_s

    def recent_pause_s(self) -> float:
        """Return the length of a pause that ended recently; zero for none."""
        now_s = self._clock()
        gap_s = now_s - self._ticked_at_s
        if gap_s > 2 * _TICK_PERIOD_S:
            return gap_s
        if now_s - self._pause_ended_at_s < _RECENT_PAUSE_S:
            return self._pause_s
        return 0
