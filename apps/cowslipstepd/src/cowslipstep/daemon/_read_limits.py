"""Limits in time and bytes on what a peer sends."""

from __future__ import annotations

import math
import time
from collections.abc import Callable

from attrs import define, field, frozen

from cowslipstep.daemon._interruptions import Interruption

# Bytes that are there without a wait are still received for this time after a
# limit: they may have arrived before it.
_MAX_LATE_S = 0.2


class ReadLimitExceeded(OSError):
    """The peer has sent more bytes than a response may have."""


@frozen
class Silence:
    """What happens while a peer sends nothing that counts.

    Parameters
    ----------
    after_s
        Time until the silence begins, seconds.
    on_silence
        Called by the task that waits once the silence has begun. It returns
        the time until it is called again, seconds, or raises an exception that
        ends the wait.
    interruption
        Lets another task end the wait, silent or not.
    """

    after_s: float
    on_silence: Callable[[], float]
    interruption: Interruption = field(factory=Interruption)


@define
class ReadLimits:
    """Limits on the bytes that are received from now on.

    They hold for a peer that sends without a pause as for one that is waited
    for.
    """

    _deadline_s: float = math.inf
    _bytes_left: float = math.inf
    _silent_at_s: float = math.inf
    _silence: Silence | None = None
    _interruption: Interruption = field(factory=Interruption)
    _late_since_s: float = math.inf

    @property
    def wait_s(self) -> float:
        """Time until the next limit, seconds; zero after it."""
        return max(0, self._limit_at_s - time.monotonic())

    @property
    def interruption(self) -> Interruption:
        """What may end a wait for bytes before the next limit."""
        return self._interruption

    def limit(
        self, timeout_s: float, max_bytes: float, silence: Silence | None
    ) -> None:
        """Replace the limits.

        The time for which bytes go on after a limit is counted on, unless the
        new limits lie in the future.
        """
        now_s = time.monotonic()
        self._deadline_s = now_s + timeout_s
        self._bytes_left = max_bytes
        self._silence = silence
        self._interruption = silence.interruption if silence else Interruption()
        self._silent_at_s = now_s + silence.after_s if silence else math.inf

    def check_bytes(self) -> None:
        """Check that the peer may send more.

        Raises
        ------
        ReadLimitExceeded
            If it has already sent as many bytes as allowed.
        """
        if self._bytes_left <= 0:
            raise ReadLimitExceeded('the peer sends more bytes than allowed')

    def record(self, received: int) -> None:
        """Count received bytes; apply a limit in time that they go beyond.

        Raises
        ------
        TimeoutError
            If bytes go on to arrive after the timeout.
        """
        self._bytes_left -= received
        now_s = time.monotonic()
        if now_s < self._limit_at_s:
            self._late_since_s = math.inf
            return
        self._late_since_s = min(self._late_since_s, now_s)
        if now_s - self._late_since_s > _MAX_LATE_S:
            self._late_since_s = math.inf
            self.apply(TimeoutError('bytes go on after the timeout'))

    def apply(self, timeout: TimeoutError) -> None:
        """Raise the error at the deadline; before it, the peer is silent."""
        if self._silence is None or self._deadline_s <= self._silent_at_s:
            raise timeout
        pause_s = self._silence.on_silence()
        self._silent_at_s = time.monotonic() + pause_s

    @property
    def _limit_at_s(self) -> float:
        return min(self._deadline_s, self._silent_at_s)
