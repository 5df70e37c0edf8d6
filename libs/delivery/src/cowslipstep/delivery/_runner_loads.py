"""Least-loaded choice of a plain service's runner, with ejection."""

from __future__ import annotations

import collections
from collections.abc import Callable, Sequence

from cowslipstep.model import Address

_FAILURES_TO_EJECT = 3
_EJECTION_S = 5


class RunnerLoads:
    """Calls in progress and consecutive failures of each runner.

    A runner with several consecutive failures is ejected: for some seconds it
    is not chosen, unless every other runner with a free slot is ejected or
    to be avoided.

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
        slots_per_runner: int,
        avoided: Sequence[Address] = (),
    ) -> Address | None:
        """Return the runner with the fewest calls that has a free slot.

        Runners in ``avoided`` are chosen only if no other one has a free
        slot. The result is ``None`` if all slots are in use.
        """
        free = [
            runner
            for runner in runners
            if self._in_progress[runner] < slots_per_runner
        ]
        if not free:
            return None
        return min(free, key=lambda runner: self._preference(runner, avoided))

    def begin_call(self, runner: Address) -> None:
        """Count a call that begins at a runner."""
        self._in_progress[runner] += 1

    def end_call(self, runner: Address, *, failed: bool) -> None:
        """Stop counting a call; eject the runner if it fails repeatedly."""
        self._in_progress[runner] -= 1
        if not failed:
            self._failures.pop(runner, None)
            self._ejected_until_s.pop(runner, None)
            return
        self._failures[runner] += 1
        if self._failures[runner] >= _FAILURES_TO_EJECT:
            self._ejected_until_s[runner] = self._clock() + _EJECTION_S

    def _preference(
        self,
        runner: Address,
        avoided: Sequence[Address],
    ) -> tuple[bool, bool, int, Address]:
        """Return the sort key of a runner; the lowest one is chosen."""
        ejected = self._ejected_until_s.get(runner, 0) > self._clock()
        return runner in avoided, ejected, self._in_progress[runner], runner
