"""Entering, answering and withdrawing claims in a segment's entries."""

from __future__ import annotations

import attrs

from cowslipstep.delivery._entry_results import (
    Answered,
    Entered,
    EntryResult,
    InUse,
    Noted,
    OtherRequest,
    SegmentFull,
)
from cowslipstep.delivery._orders import (
    AnswerOrder,
    EnterOrder,
    OrderChange,
    OrderClaim,
    OrderEntry,
    WithdrawOrder,
)

MAX_ENTRIES = 4000

Entries = dict[str, OrderEntry]


def apply_change(
    entries: Entries,
    change: OrderChange,
    now_unix_s: float,
) -> EntryResult:
    """Apply one change in place and say what came of it."""
    match change:
        case EnterOrder(claim):
            return _enter(entries, claim, now_unix_s)
        case AnswerOrder(claim, answer):
            if _holds(entries, claim):
                entry = entries[claim.digest]
                entries[claim.digest] = attrs.evolve(entry, answer=answer)
        case WithdrawOrder(claim):
            if _holds(entries, claim):
                entries.pop(claim.digest)
    return Noted()


def _enter(
    entries: Entries,
    claim: OrderClaim,
    now_unix_s: float,
) -> EntryResult:
    entry = entries.get(claim.digest)
    if entry is not None:
        return _taken(entry, claim)
    if len(entries) >= MAX_ENTRIES:
        return SegmentFull()
    entries[claim.digest] = OrderEntry(claim, now_unix_s)
    return Entered()


def _taken(entry: OrderEntry, claim: OrderClaim) -> EntryResult:
    if entry.claim.attempt == claim.attempt:
        return Entered()
    if entry.claim.fingerprint != claim.fingerprint:
        return OtherRequest()
    if entry.answer is None:
        return InUse()
    return Answered(entry.answer)


def _holds(entries: Entries, claim: OrderClaim) -> bool:
    entry = entries.get(claim.digest)
    return entry is not None and entry.claim.attempt == claim.attempt
