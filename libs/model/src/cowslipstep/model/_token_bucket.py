"""Token bucket: a rate limit that allows bursts."""

from __future__ import annotations

from collections.abc import Callable


class TokenBucket:
    """Token bucket that starts full.

    Parameters
    ----------
    rate_per_s
        Tokens added each second.
    burst
        Capacity of the bucket, tokens.
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

    def reconfigure(self, rate_per_s: float, burst: float) -> None:
        """Change rate and capacity; the filled part of it stays the same."""
        self._fill()
        self._tokens *= burst / self._burst
        self._rate_per_s = rate_per_s
        self._burst = burst

    def take(self, reserved: float = 0) -> bool:
        """Take a token and return true, or return false.

        Takes none if the bucket holds fewer than ``reserved`` tokens, which
        are left for calls that reserve less.
        """
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
