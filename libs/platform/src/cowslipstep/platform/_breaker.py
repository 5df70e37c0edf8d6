"""Circuit breaker with jittered exponential backoff."""

from __future__ import annotations

import random
from collections.abc import Callable

_TOLERATED_FAILURES = 3
_FIRST_DELAY_S = 0.2
_MAX_DELAY_S = 2
_MAX_DOUBLINGS = 10


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the wait before a retry: half of it fixed, half of it random.

    Examples
    --------
    >>> 0.1 <= backoff_s(0, random.Random(1)) <= 0.2
    True
    >>> 1 <= backoff_s(50, random.Random(1)) <= 2
    True
    """
    doublings = min(attempt, _MAX_DOUBLINGS)
    ceiling_s = min(_MAX_DELAY_S, _FIRST_DELAY_S * 2**doublings)
    return ceiling_s * (1 + rng.random()) / 2


class Breaker:
    """Refuses calls for a while after several failures in a row.

    In an outage one call passes after each backoff; the first success lets
    all calls pass again.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    rng
        Source of the jitter.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._closed_until_s: float = 0

    def admit(self) -> bool:
        """Whether a call may be sent now."""
        if self._failures < _TOLERATED_FAILURES:
            return True
        if self._clock() < self._closed_until_s:
            return False
        self._close()
        return True

    def succeed(self) -> None:
        """Note a call that was answered."""
        self._failures = 0

    def fail(self) -> None:
        """Note a call without a usable answer."""
        self._failures += 1
        if self._failures >= _TOLERATED_FAILURES:
            self._close()

    def _close(self) -> None:
        excess = max(0, self._failures - _TOLERATED_FAILURES)
        delay_s = backoff_s(excess, self._rng)
        self._closed_until_s = self._clock() + delay_s
