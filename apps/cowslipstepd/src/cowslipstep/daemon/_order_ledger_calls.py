"""Changes of the ledger of orders, and the interface that applies them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from cowslipstep.delivery import ChangeOutcome, EntryLocation, OrderChange
from cowslipstep.model import (
    OrderLedgerCall,
    OrderLedgerOutcome,
    OrderLedgerReply,
)
from cowslipstep.peers import ReplyCallback

OrderLedgerCallHandler = Callable[[OrderLedgerCall, ReplyCallback], None]


@frozen
class LocatedChange:
    """A change, the location of its entry and the retention of entries."""

    location: EntryLocation
    change: OrderChange
    retention_s: float


class ChangeApplier(Protocol):
    """Applies changes to the ledger of orders."""

    def apply(self, located: LocatedChange) -> ChangeOutcome:
        """Apply a change and wait until the platform has confirmed it.

        Raises
        ------
        OrderLedgerUnavailable
            If the platform does not confirm the change in time.
        """


def refuse_order_ledger_call(
    _call: OrderLedgerCall, reply: ReplyCallback
) -> None:
    """Reply that this daemon writes no changes of other daemons."""
    reply(OrderLedgerReply(OrderLedgerOutcome.unavailable))
