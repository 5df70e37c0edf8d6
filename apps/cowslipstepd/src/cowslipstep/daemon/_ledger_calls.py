"""Handling of changes of the order ledger that other daemons ask for."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from cowslipstep.delivery import EntryResult, OrderChange, SegmentPlace
from cowslipstep.model import (
    OrderLedgerCall,
    OrderLedgerOutcome,
    OrderLedgerReply,
)
from cowslipstep.peers import Reply

LedgerHandler = Callable[[OrderLedgerCall, Reply], None]


@frozen
class PlacedChange:
    """A change, the segment that it belongs to and how long entries stay."""

    place: SegmentPlace
    change: OrderChange
    retention_s: float


class ChangeLedger(Protocol):
    """Applies changes to the order ledger."""

    def apply(self, placed: PlacedChange) -> EntryResult:
        """Apply a change and wait until the platform has confirmed it.

        Raises
        ------
        LedgerUnavailable
            If the platform did not confirm it in time.
        """


def refuse_ledger_call(_call: OrderLedgerCall, reply: Reply) -> None:
    """Tell that this daemon does not write for others."""
    reply(OrderLedgerReply(OrderLedgerOutcome.unavailable))
