"""Clock that does not stop while the host is suspended."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return the seconds since boot, including time in suspension.

    ``time.monotonic`` stops during a suspension, so that a lease that expired
    meanwhile would seem valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
