"""Clocks."""

from __future__ import annotations

import time


def boot_time_s() -> float:
    """Return a clock reading that counts the time of a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
