"""Order ledger whose segments may be written by other daemons."""

from __future__ import annotations

import math

import eventlet

from cowslipstep.daemon._ledger_calls import PlacedChange
from cowslipstep.daemon._ledger_messages import (
    call_of,
    change_of,
    failure_of,
    reply_of,
    result_of,
)
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._segment_batches import LedgerUnavailable
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import (
    EntryResult,
    SegmentPlace,
    segment_place,
    segment_role,
)
from cowslipstep.model import OrderLedgerCall, OrderLedgerReply
from cowslipstep.peers import PeerUnreachable, Reply
from cowslipstep.routing import rendezvous_order

_OWNER_TIMEOUT_S = 1.5


class SharedLedger:
    """Sends changes of busy segments to their owner.

    The owner of a segment puts the changes of all daemons into one write.
    Ownership saves writes, no more: a daemon whose owner cannot write
    writes by itself, and one that cannot reach the platform lets another
    daemon write. A change that was applied already is applied again
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

    def apply(self, placed: PlacedChange) -> EntryResult:
        """Apply a change by its first writer, else by the second one."""
        first, *others = self._writers(placed.place)
        try:
            return self._write_by(first, placed)
        except LedgerUnavailable as failure:
            if not others:
                raise
            unknown = failure.unknown
        try:
            return self._write_by(others[0], placed)
        except LedgerUnavailable as failure:
            unknown = unknown or failure.unknown
            raise LedgerUnavailable(str(failure), unknown=unknown) from failure

    def serve(self, call: OrderLedgerCall, reply: Reply) -> None:
        """Apply the change that another daemon asks for."""
        eventlet.spawn(self._serve, call, reply)

    def _writers(self, place: SegmentPlace) -> tuple[str, ...]:
        """Return who writes a segment, and who does if that one cannot."""
        own = self._state.settings.name
        ranked = rendezvous_order(
            segment_role(place.name),
            self._state.live_daemons,
        )
        if ranked[0] != own and not place.expires:
            return (ranked[0], own)
        others = [daemon for daemon in ranked if daemon != own]
        return (own, *others[:1])

    def _write_by(self, daemon: str, placed: PlacedChange) -> EntryResult:
        if daemon == self._state.settings.name:
            return self._ledger.apply(placed)
        call = call_of(placed.place.name, placed.change)
        try:
            reply = self._links.call(daemon, call, _OWNER_TIMEOUT_S)
        except PeerUnreachable as error:
            raise LedgerUnavailable(str(error), unknown=True) from error
        match reply:
            case OrderLedgerReply():
                return result_of(reply)
        raise LedgerUnavailable(f'no result from {daemon}', unknown=False)

    def _serve(self, call: OrderLedgerCall, reply: Reply) -> None:
        place = segment_place(call.segment, call.digest)
        configuration = self._state.configuration
        retention_s = math.inf
        if configuration is not None:
            retention_s = configuration.key_retention_s
        placed = PlacedChange(place, change_of(call), retention_s)
        try:
            outcome = self._ledger.apply(placed)
        except LedgerUnavailable as failure:
            reply(failure_of(failure))
            return
        reply(reply_of(outcome))
