"""Limits how long a task runs before it lets others run."""

from __future__ import annotations

import time

# Short beside the round trip of a request, long beside a switch of tasks.
_MAX_SLICE_S = 0.002


class TimeSlice:
    """The time that a task may run without a wait.

    A task that reads what has already arrived never waits, however much its
    peer sends.

    Examples
    --------
    >>> turn = TimeSlice(0)
    >>> turn.end_if_over()
    True
    >>> TimeSlice(60).end_if_over()
    False
    """

    def __init__(self, max_s: float = _MAX_SLICE_S) -> None:
        self._max_s = max_s
        self._ends_at_s = time.monotonic() + max_s

    def restart(self) -> None:
        """Begin a new slice, after a wait in which other tasks ran."""
        self._ends_at_s = time.monotonic() + self._max_s

    def end_if_over(self) -> bool:
        """Let other tasks run if the slice is over; return whether it was."""
        if time.monotonic() < self._ends_at_s:
            return False
        time.sleep(0)
        self.restart()
        return True
