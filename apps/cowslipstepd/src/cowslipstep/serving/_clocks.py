"""Clock that does not stop while the host is suspended."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return the seconds since boot, including time in suspension.

    A monotonic clock stops meanwhile, so that a lease would seem to hold.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
