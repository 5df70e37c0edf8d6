"""Ledger of orders that forwards changes to the owners of segments."""

from __future__ import annotations

import math

import eventlet

from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._order_ledger_calls import LocatedChange
from cowslipstep.daemon._order_ledger_messages import (
    call_with_change,
    change_in_call,
    outcome_in_reply,
    reply_with_failure,
    reply_with_outcome,
)
from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable
from cowslipstep.daemon._state import DaemonState
from cowslipstep.delivery import (
    ChangeOutcome,
    EntryLocation,
    entry_location,
    segment_role,
)
from cowslipstep.model import OrderLedgerCall, OrderLedgerReply
from cowslipstep.peers import PeerUnreachable, ReplyCallback
from cowslipstep.routing import rendezvous_order

_OWNER_CALL_TIMEOUT_S = 1.5


class ForwardingLedger:
    """Forwards changes of time slots' segments to the segment's owner.

    The owner writes the changes of all daemons together, which saves writes.
    Correctness does not depend on ownership: if the owner cannot write, the
    daemon writes the segment itself, and a daemon that cannot reach the
    platform lets another one write. Applying a change again that was applied
    already has no effect. A claim that is applied late, after its withdrawal,
    holds its key until it expires; its order does not run.

    Parameters
    ----------
    state
        State of the daemon.
    ledger
        Writes segments from this daemon.
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
        state.handle_order_ledger_call = self.serve

    def apply(self, located: LocatedChange) -> ChangeOutcome:
        """Apply a change by its first writer or, if it fails, the second.

        Raises
        ------
        OrderLedgerUnavailable
            If neither confirms the change in time.
        """
        first, *others = self._writers(located.location)
        try:
            return self._apply_at(first, located)
        except OrderLedgerUnavailable as failure:
            if not others:
                raise
            may_be_applied = failure.may_be_applied
        try:
            return self._apply_at(others[0], located)
        except OrderLedgerUnavailable as failure:
            may_be_applied = may_be_applied or failure.may_be_applied
            raise OrderLedgerUnavailable(
                str(failure), may_be_applied=may_be_applied
            ) from failure

    def serve(self, call: OrderLedgerCall, reply: ReplyCallback) -> None:
        """Apply a change that another daemon forwarded, and reply later."""
        eventlet.spawn(self._serve, call, reply)

    def _writers(self, location: EntryLocation) -> tuple[str, ...]:
        """Return the daemon that writes a segment, and the one to fall back to.

        A bucket has no shared writes to save, so this daemon writes it.
        """
        own = self._state.settings.name
        ranked = rendezvous_order(
            segment_role(location.segment),
            self._state.live_daemons,
        )
        if ranked[0] != own and not location.in_bucket:
            return (ranked[0], own)
        others = [daemon for daemon in ranked if daemon != own]
        return (own, *others[:1])

    def _apply_at(self, daemon: str, located: LocatedChange) -> ChangeOutcome:
        if daemon == self._state.settings.name:
            return self._ledger.apply(located)
        call = call_with_change(located.location.segment, located.change)
        try:
            reply = self._links.call(daemon, call, _OWNER_CALL_TIMEOUT_S)
        except PeerUnreachable as error:
            raise OrderLedgerUnavailable(
                str(error), may_be_applied=True
            ) from error
        match reply:
            case OrderLedgerReply():
                return outcome_in_reply(reply)
        raise OrderLedgerUnavailable(
            f'expected a ledger reply from {daemon}, got another message',
            may_be_applied=False,
        )

    def _serve(self, call: OrderLedgerCall, reply: ReplyCallback) -> None:
        location = entry_location(call.segment, call.digest)
        configuration = self._state.configuration
        retention_s = math.inf
        if configuration is not None:
            retention_s = configuration.key_retention_s
        located = LocatedChange(location, change_in_call(call), retention_s)
        try:
            outcome = self._ledger.apply(located)
        except OrderLedgerUnavailable as failure:
            reply(reply_with_failure(failure))
            return
        reply(reply_with_outcome(outcome))
