"""Caution of a dispatcher that may not know all grants in use."""

from __future__ import annotations

from cowslipstep.routing._dispatcher_types import Clock

_LEARNING_SLOT_SHARE = 0.5
_NO_GRANTS_S = 0.4
_MIN_PAUSE_S = 1


class LearningMode:
    """Share of the slots that a dispatcher uses.

    For a while at the start and after a pause it is zero and then one half:
    meanwhile the grants that another dispatcher gave arrive with their
    renewals.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    learning_s
        How long; zero for never.
    """

    def __init__(self, clock: Clock, learning_s: float) -> None:
        self._clock = clock
        self._learning_s = learning_s
        self._called_at_s = clock()
        self._until_s = self._called_at_s + learning_s

    def slot_share(self) -> float:
        """Return the share to use now; to be called periodically."""
        now = self._clock()
        if now - self._called_at_s > _MIN_PAUSE_S:
            self._until_s = now + self._learning_s
        self._called_at_s = now
        remaining_s = self._until_s - now
        if remaining_s <= 0:
            return 1
        grants_withheld = remaining_s > self._learning_s - _NO_GRANTS_S
        return 0 if grants_withheld else _LEARNING_SLOT_SHARE
