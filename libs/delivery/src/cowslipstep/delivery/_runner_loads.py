"""Choice of a plain-service runner: fewest calls in progress."""

from __future__ import annotations

import collections
from collections.abc import Callable, Sequence

from cowslipstep.model import Address

_FAILURES_TO_EJECT = 3
_EJECTION_S = 5


class RunnerLoads:
    """Calls in progress and recent failures of each runner.

    A runner that fails several times on end is not chosen for a while,
    unless all others are ejected too.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._in_progress: collections.Counter[Address] = collections.Counter()
        self._failures: collections.Counter[Address] = collections.Counter()
        self._ejected_until_s: dict[Address, float] = {}

    def choose(
        self,
        runners: Sequence[Address],
        slots: int,
        avoid: Sequence[Address] = (),
    ) -> Address | None:
        """Return the runner with the fewest calls that has room, if any.

        Runners in ``avoid`` are taken only where there is no other.
        """
        free = [
            runner for runner in runners if self._in_progress[runner] < slots
        ]
        if not free:
            return None
        return min(free, key=lambda runner: self._order(runner, avoid))

    def begin_call(self, runner: Address) -> None:
        """Note that a call begins."""
        self._in_progress[runner] += 1

    def end_call(self, runner: Address, *, failed: bool) -> None:
        """Note that a call has ended."""
        self._in_progress[runner] -= 1
        if not failed:
            self._failures.pop(runner, None)
            self._ejected_until_s.pop(runner, None)
            return
        self._failures[runner] += 1
        if self._failures[runner] >= _FAILURES_TO_EJECT:
            self._ejected_until_s[runner] = self._clock() + _EJECTION_S

    def _order(
        self,
        runner: Address,
        avoid: Sequence[Address],
    ) -> tuple[bool, bool, int, Address]:
        ejected = self._ejected_until_s.get(runner, 0) > self._clock()
        return runner in avoid, ejected, self._in_progress[runner], runner
