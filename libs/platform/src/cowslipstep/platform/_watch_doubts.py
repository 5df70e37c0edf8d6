"""Tells which pending watch calls may never get a response.

Load pattern: watch calls that wait for a change for many seconds. A store that
was silent never responds to the calls that it received meanwhile, and keeps
their connections open, so that such a call cannot be told from one whose kind
does not change. Short waits would find it earlier, but each one is a call.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from attrs import define

from cowslipstep.model import CowslipstepError


class WatchGivenUp(CowslipstepError):
    """A watch call was given up before its response."""


class WatchDoubt(enum.StrEnum):
    """Why a pending watch call has to be sent again."""

    store_was_silent = 'the store was silent'
    peer_is_ahead = 'a peer has a newer version'
    relay_saw_silence = 'the relay says that the store was silent'
    store_restored = 'the store came back from an older copy'
    relay_lost = 'the relay is lost'


@define
class WatchDoubts:
    """Records what makes the watch calls that are pending doubtful.

    Attributes
    ----------
    clock
        Monotonic clock, seconds.
    silences
        Number of times that the store responded again after a silence.
    given_up
        Number of watch calls that were given up.

    Examples
    --------
    >>> doubts = WatchDoubts(lambda: 7)
    >>> doubts.record_no_response()
    >>> doubts.record_response(sent_at_s=5)
    >>> doubts.doubt(sent_at_s=4)
    <WatchDoubt.store_was_silent: 'the store was silent'>
    >>> doubts.doubt(sent_at_s=6) is None
    True
    """

    clock: Callable[[], float]
    silences: int = 0
    given_up: int = 0
    _is_silent: bool = False
    _doubtful_before_s: float = float('-inf')
    _latest: WatchDoubt = WatchDoubt.store_was_silent

    def record_no_response(self) -> None:
        """Record a call that got no response within its time limit."""
        self._is_silent = True

    def record_response(self, sent_at_s: float) -> None:
        """Record the response to a call that was sent at that moment.

        After a silence, calls that were sent earlier may be lost.
        """
        if self._is_silent:
            self._is_silent = False
            self.silences += 1
            self._add(WatchDoubt.store_was_silent, sent_at_s)

    def doubt_pending(self, doubt: WatchDoubt) -> None:
        """Record a reason to doubt all calls that are pending now."""
        self._add(doubt, self.clock())

    def doubt_restored(self, _era: int) -> None:
        """Record that the store came back from an older copy.

        Watches that wait since before are not told of all later changes.
        """
        self.doubt_pending(WatchDoubt.store_restored)

    def doubt(self, sent_at_s: float) -> WatchDoubt | None:
        """Return why a pending call is doubtful, if it is."""
        return self._latest if sent_at_s < self._doubtful_before_s else None

    def _add(self, doubt: WatchDoubt, before_s: float) -> None:
        if before_s > self._doubtful_before_s:
            self._doubtful_before_s = before_s
            self._latest = doubt
