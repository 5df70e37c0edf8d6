"""Units of durations on the wire."""

from __future__ import annotations

_MS_PER_S = 1000
_US_PER_S = 1000000
MAX_UINT32 = 0xFFFFFFFF


def seconds_to_ms(seconds: float) -> int:
    """Return whole milliseconds, within the range of the schema."""
    return min(max(0, int(seconds * _MS_PER_S)), MAX_UINT32)


def ms_to_seconds(milliseconds: int) -> float:
    """Return seconds from whole milliseconds."""
    return milliseconds / _MS_PER_S


def seconds_to_us(seconds: float) -> int:
    """Return whole microseconds, within the range of the schema."""
    return min(max(0, round(seconds * _US_PER_S)), MAX_UINT32)


def us_to_seconds(microseconds: int) -> float:
    """Return seconds from whole microseconds."""
    return microseconds / _US_PER_S
