"""How long watches of this daemon wait, and when they are sent again."""

from __future__ import annotations

import time

from cowslipstep.platform import WatchDoubt
from cowslipstep.serving._kind_watch import (
    LONG_WATCH_TIMEOUT_S,
    WATCH_TIMEOUT_S,
)
from cowslipstep.serving._state import ServingState


class WatchReliance:
    """Tells what watches rest on: the store itself, or a relay's reports.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state

    def timeout_s(self) -> float:
        """Return how long a watch may wait, seconds.

        A long wait rests on a relay, whose reports reveal a silent store.
        """
        relay_role = self._state.relay_role
        if relay_role.relies_on_relay and not relay_role.has_lost_relay:
            return LONG_WATCH_TIMEOUT_S
        return WATCH_TIMEOUT_S

    def evidence_timeout_s(self) -> float:
        """Return how long a watch of evidence may wait, seconds.

        Other watches of a daemon without a relay reveal a silent store.
        """
        if self._state.relay_role.has_lost_relay:
            return WATCH_TIMEOUT_S
        return LONG_WATCH_TIMEOUT_S

    def doubt(self, sent_at_s: float) -> WatchDoubt | None:
        """Return why a pending watch call may never get a response.

        Parameters
        ----------
        sent_at_s
            When it was sent, reading of the monotonic clock.
        """
        if sent_at_s < self._state.relay_role.relay_lost_at_s <= _now_s():
            return WatchDoubt.relay_lost
        return self._state.platform.doubts.doubt(sent_at_s)


def _now_s() -> float:
    return time.monotonic()
