"""Order ledger whose busy segments are written by one daemon each."""

from __future__ import annotations

import math

import eventlet

from cowslipstep.daemon._ledger_messages import (
    call_of,
    change_of,
    reply_of,
    result_of,
)
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._segment_batches import LedgerUnavailable
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import EntryResult, OrderChange, SegmentPlace
from cowslipstep.model import LedgerCall, LedgerOutcome, LedgerReply
from cowslipstep.peers import PeerUnreachable, Reply
from cowslipstep.routing import rank_owners

_OWNER_TIMEOUT_S = 1.5


class SharedLedger:
    """Sends changes of busy segments to their owner.

    The owner of a segment puts the changes of all daemons into one write.
    Ownership saves writes, no more: a daemon whose owner does not answer
    writes by itself, and a change that was applied already is applied again
    without effect.

    Parameters
    ----------
    state
        State of the daemon.
    ledger
        Writes the segments that this daemon owns.
    links
        Links to the other daemons.
    """

    def __init__(
        self,
        state: DaemonState,
        ledger: OrderLedger,
        links: PeerLinks,
    ) -> None:
        self._state = state
        self._ledger = ledger
        self._links = links
        state.ledger_calls = self.serve

    def change(
        self,
        place: SegmentPlace,
        change: OrderChange,
        retention_s: float,
    ) -> EntryResult:
        """Apply a change and wait until the platform has confirmed it.

        Raises
        ------
        LedgerUnavailable
            If the platform did not confirm it in time.
        """
        if not place.expires:
            owner = rank_owners(place.name, self._state.live_daemons)[0]
            if owner != self._state.settings.name:
                reply = self._ask(owner, call_of(place.name, change))
                if reply is not None:
                    return result_of(reply)
        return self._ledger.change(place, change, retention_s)

    def serve(self, call: LedgerCall, reply: Reply) -> None:
        """Apply the change that another daemon asks for."""
        eventlet.spawn(self._serve, call, reply)

    def _ask(self, owner: str, call: LedgerCall) -> LedgerReply | None:
        try:
            reply = self._links.call(owner, call, _OWNER_TIMEOUT_S)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, LedgerReply) else None

    def _serve(self, call: LedgerCall, reply: Reply) -> None:
        place = SegmentPlace(call.segment, call.digest, expires=False)
        try:
            outcome = self._ledger.change(place, change_of(call), math.inf)
        except LedgerUnavailable:
            reply(LedgerReply(LedgerOutcome.unavailable))
            return
        reply(reply_of(outcome))
