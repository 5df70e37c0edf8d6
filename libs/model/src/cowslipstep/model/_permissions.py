"""Permissions that end unless they are confirmed again."""

from __future__ import annotations

import math

from attrs import frozen


@frozen
class Permission:
    """A permission that rests on a fact known to hold at one moment.

    It ends by itself, so that a process which was paused or cut off does not
    act on it for longer than its lifetime.

    Parameters
    ----------
    lifetime_s
        How long the permission lasts after a confirmation, seconds; infinite
        for one that needs none.
    confirmed_at_s
        Clock reading at which the fact held, seconds; minus infinity if it
        was never confirmed. The clock must not stop while the host is
        suspended.

    Examples
    --------
    >>> permission = Permission(lifetime_s=5, confirmed_at_s=100)
    >>> permission.holds(104), permission.holds(105)
    (True, False)
    """

    lifetime_s: float
    confirmed_at_s: float = -math.inf

    @property
    def ends_at_s(self) -> float:
        """Clock reading at which the permission ends, seconds."""
        if self.lifetime_s == math.inf:
            return math.inf
        return self.confirmed_at_s + self.lifetime_s

    def holds(self, now_s: float) -> bool:
        """Return whether the permission still holds at a clock reading."""
        return now_s < self.ends_at_s
