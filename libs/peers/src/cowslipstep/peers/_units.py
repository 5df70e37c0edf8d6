"""Conversion between seconds and the milliseconds of the schema."""

from __future__ import annotations

_MS_PER_S = 1000
MAX_UINT32 = 0xFFFFFFFF


def seconds_to_ms(seconds: float) -> int:
    """Return whole milliseconds, clamped to the range of a ``UInt32``."""
    return min(max(0, int(seconds * _MS_PER_S)), MAX_UINT32)


def ms_to_seconds(milliseconds: int) -> float:
    """Return seconds from whole milliseconds."""
    return milliseconds / _MS_PER_S
