"""Comparison of shares with targets."""

from __future__ import annotations


def at_least(share: float | None, target: float) -> bool | None:
    """Return whether a share reaches a target; ``None`` without a share."""
    return None if share is None else share >= target


def at_most(share: float | None, limit: float) -> bool | None:
    """Return whether a share is within a limit; ``None`` without a share."""
    return None if share is None else share <= limit
