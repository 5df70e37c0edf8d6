"""Circuit breaker with jittered exponential backoff."""

from __future__ import annotations

import random
from collections.abc import Callable

_FAILURES_UNTIL_OPEN = 3
_INITIAL_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2
_MAX_BACKOFF_DOUBLINGS = 10


def backoff_s(earlier_retries: int, rng: random.Random) -> float:
    """Return the wait before a retry: half of it fixed, half of it random.

    The wait doubles with each of the ``earlier_retries``, up to a maximum.

    Examples
    --------
    >>> 0.1 <= backoff_s(0, random.Random(1)) <= 0.2
    True
    >>> 1 <= backoff_s(50, random.Random(1)) <= 2
    True
    """
    doublings = min(earlier_retries, _MAX_BACKOFF_DOUBLINGS)
    ceiling_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**doublings)
    return ceiling_s * (1 + rng.random()) / 2


class CircuitBreaker:
    """Refuses calls for a backoff time after several failures in a row.

    When that time is over, one call is admitted as a probe, and the time
    starts again. The first success closes the breaker: all calls are
    admitted.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    rng
        Source of the jitter of the backoff.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._open_until_s: float = 0

    def admit(self) -> bool:
        """Return whether a call may be sent now.

        A call that is admitted as a probe starts the backoff time again.
        """
        if self._failures < _FAILURES_UNTIL_OPEN:
            return True
        if self._clock() < self._open_until_s:
            return False
        self._open()
        return True

    def record_success(self) -> None:
        """Record a call that got a usable response."""
        self._failures = 0

    def record_failure(self) -> None:
        """Record a call without a usable response."""
        self._failures += 1
        if self._failures >= _FAILURES_UNTIL_OPEN:
            self._open()

    def _open(self) -> None:
        excess = max(0, self._failures - _FAILURES_UNTIL_OPEN)
        delay_s = backoff_s(excess, self._rng)
        self._open_until_s = self._clock() + delay_s
