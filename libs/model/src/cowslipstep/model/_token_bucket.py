"""Bound on how often something is done, with bursts after a pause."""

from __future__ import annotations

from collections.abc import Callable


class TokenBucket:
    """Gains tokens at a rate, up to a burst.

    Parameters
    ----------
    rate_per_s
        Tokens gained in a second.
    burst
        Largest number of tokens, and how many there are at the start.
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> bucket = TokenBucket(1, burst=2, clock=lambda: 0)
    >>> bucket.take(reserved=2), bucket.take(reserved=2), bucket.take()
    (True, False, True)
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        clock: Callable[[], float],
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled_at_s = clock()

    def change(self, rate_per_s: float, burst: float) -> None:
        """Use another rate and burst; tokens keep their part of the burst."""
        self._fill()
        self._tokens *= burst / self._burst
        self._rate_per_s = rate_per_s
        self._burst = burst

    def take(self, reserved: float = 0) -> bool:
        """Take a token; false if there is none beside those ``reserved``."""
        self._fill()
        if self._tokens < max(1, reserved):
            return False
        self._tokens -= 1
        return True

    def _fill(self) -> None:
        now_s = self._clock()
        gained = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at_s = now_s
