"""Learning mode of a dispatcher that may not know all active grants."""

from __future__ import annotations

from cowslipstep.routing._dispatcher_types import Clock

_LEARNING_SLOT_SHARE = 0.5
# First part of the learning mode, in which no slot is granted.
_NO_GRANTS_PERIOD_S = 0.4
# A longer time between two calls means that the process was paused.
_MAX_CALL_INTERVAL_S = 1


class LearningMode:
    """Limits the share of the slots that a dispatcher grants.

    At the start, and after the process was paused, the share is first zero
    and then one half. In this time the dispatcher learns the active grants
    of another dispatcher of the cell from their renewals; without it both
    would grant the same slots.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    learning_s
        Duration of the learning mode, seconds; zero for none.
    """

    def __init__(self, clock: Clock, learning_s: float) -> None:
        self._clock = clock
        self._learning_s = learning_s
        self._called_at_s = clock()
        self._learning_until_s = self._called_at_s + learning_s

    def slot_share(self) -> float:
        """Return the share that may be granted now; call periodically."""
        now = self._clock()
        if now - self._called_at_s > _MAX_CALL_INTERVAL_S:
            self._learning_until_s = now + self._learning_s
        self._called_at_s = now
        remaining_s = self._learning_until_s - now
        if remaining_s <= 0:
            return 1
        grants_withheld = remaining_s > self._learning_s - _NO_GRANTS_PERIOD_S
        return 0 if grants_withheld else _LEARNING_SLOT_SHARE
