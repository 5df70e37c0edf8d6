"""Service rates, measured only while there is work to do."""

from __future__ import annotations

import math

from attrs import define

# Time constant of the decay, in busy time.
_RATE_DECAY_S = 3
# With less busy time than this a rate is too uncertain to be used.
_MIN_BUSY_S = 0.5
_MAX_OBSERVATION_GAP_S = 1


@define
class ServiceRate:
    """Tokens served per second of busy time, with exponential decay.

    Examples
    --------
    >>> rate = ServiceRate()
    >>> rate.add(500, busy_s=1)
    >>> rate.per_s
    500.0
    """

    _tokens: float = 0
    _busy_s: float = 0

    @property
    def per_s(self) -> float:
        """Tokens a second; zero while too little was measured."""
        if self._busy_s < _MIN_BUSY_S:
            return 0
        return self._tokens / self._busy_s

    def add(self, tokens: float, busy_s: float) -> None:
        """Add served tokens and the busy time since the last call."""
        decay = math.exp(-busy_s / _RATE_DECAY_S)
        self._tokens = max(0, self._tokens * decay + tokens)
        self._busy_s = self._busy_s * decay + busy_s


@define
class BusyMeter:
    """Service rate of a queue, over the time in which requests waited.

    A queue is observed several times a second. A longer gap means that the
    process was paused; it is left out, since the rate would seem too low.
    """

    _rate: ServiceRate
    _observed_at_s: float

    @property
    def per_s(self) -> float:
        """Tokens a second; zero while too little was measured."""
        return self._rate.per_s

    def observe(self, now_s: float, busy: bool, tokens: float = 0) -> None:
        """Add the time since the last call, if requests waited then.

        Parameters
        ----------
        now_s
            Clock reading, seconds.
        busy
            Whether requests waited since the last call.
        tokens
            Tokens served since the last call.
        """
        gap_s = now_s - self._observed_at_s
        self._observed_at_s = now_s
        if gap_s <= _MAX_OBSERVATION_GAP_S:
            self._rate.add(tokens, gap_s if busy else 0)
