"""Limits on a part of a response that is held until it is whole."""

from __future__ import annotations

import time

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import MayHaveRun, Reason

# Largest body and largest event that are held in memory until they are whole.
MAX_BODY_BYTES = 8388608
MAX_EVENT_BYTES = 1048576


class PartLimit:
    """Limits in bytes and time on one part, then on the next.

    Parameters
    ----------
    max_bytes
        Largest part.
    timeout_s
        Longest time until a part is whole, seconds.
    """

    def __init__(self, max_bytes: int, timeout_s: float) -> None:
        self._max_bytes = max_bytes
        self._timeout_s = timeout_s
        self._ends_at_s = time.monotonic() + timeout_s

    def restart(self) -> None:
        """Begin the time of the next part."""
        self._ends_at_s = time.monotonic() + self._timeout_s

    def check(self, held_bytes: int) -> None:
        """Check a part that is not whole yet.

        Raises
        ------
        UpstreamFailure
            If it exceeds its limits.
        """
        if held_bytes > self._max_bytes:
            raise UpstreamFailure(
                MayHaveRun(Reason.upstream_cut),
                f'expected at most {self._max_bytes} bytes, got more',
            )
        if time.monotonic() > self._ends_at_s:
            raise UpstreamFailure(
                MayHaveRun(Reason.upstream_timeout),
                f'expected an end within {self._timeout_s} s',
            )
