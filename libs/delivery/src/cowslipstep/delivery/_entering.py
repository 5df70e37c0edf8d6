"""Entering, answering and withdrawing claims in a segment's entries."""

from __future__ import annotations

import attrs

from cowslipstep.delivery._entry_results import (
    AlreadyAnswered,
    ChangeRecorded,
    ClaimEntered,
    EntryResult,
    KeyInUse,
    KeyReused,
    SegmentFull,
)
from cowslipstep.delivery._orders import (
    ClaimOrder,
    OrderChange,
    OrderClaim,
    OrderEntry,
    RecordResponse,
    WithdrawClaim,
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
        case ClaimOrder(claim):
            return _enter(entries, claim, now_unix_s)
        case RecordResponse(claim, answer):
            if _holds(entries, claim):
                entry = entries[claim.digest]
                entries[claim.digest] = attrs.evolve(entry, answer=answer)
        case WithdrawClaim(claim):
            if _holds(entries, claim):
                entries.pop(claim.digest)
    return ChangeRecorded()


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
    return ClaimEntered()


def _taken(entry: OrderEntry, claim: OrderClaim) -> EntryResult:
    if entry.claim.attempt == claim.attempt:
        return ClaimEntered()
    if entry.claim.fingerprint != claim.fingerprint:
        return KeyReused()
    if entry.answer is None:
        return KeyInUse()
    return AlreadyAnswered(entry.answer)


def _holds(entries: Entries, claim: OrderClaim) -> bool:
    entry = entries.get(claim.digest)
    return entry is not None and entry.claim.attempt == claim.attempt
