"""Application of a change to the entries of a ledger segment."""

from __future__ import annotations

import attrs

from cowslipstep.delivery._change_outcomes import (
    AlreadyAnswered,
    ChangeOutcome,
    ChangeRecorded,
    ClaimEntered,
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

MAX_SEGMENT_ENTRIES = 4000

Entries = dict[str, OrderEntry]


def apply_change(
    entries: Entries,
    change: OrderChange,
    now_unix_s: float,
) -> ChangeOutcome:
    """Apply one change to ``entries`` in place and return its outcome.

    A response or a withdrawal is ignored unless the entry holds the same
    claim: the claim may never have been entered, its entry may have expired,
    or another claim may hold the key by now.
    """
    match change:
        case ClaimOrder(claim):
            return _enter(entries, claim, now_unix_s)
        case RecordResponse(claim, response):
            if _is_held_by(entries, claim):
                entry = entries[claim.digest]
                entries[claim.digest] = attrs.evolve(entry, response=response)
        case WithdrawClaim(claim):
            if _is_held_by(entries, claim):
                entries.pop(claim.digest)
    return ChangeRecorded()


def _enter(
    entries: Entries,
    claim: OrderClaim,
    now_unix_s: float,
) -> ChangeOutcome:
    entry = entries.get(claim.digest)
    if entry is not None:
        return _outcome_for_known_key(entry, claim)
    if len(entries) >= MAX_SEGMENT_ENTRIES:
        return SegmentFull()
    entries[claim.digest] = OrderEntry(claim, now_unix_s)
    return ClaimEntered()


def _outcome_for_known_key(
    entry: OrderEntry,
    claim: OrderClaim,
) -> ChangeOutcome:
    if entry.claim.claim_id == claim.claim_id:
        return ClaimEntered()
    if entry.claim.fingerprint != claim.fingerprint:
        return KeyReused()
    if entry.response is None:
        return KeyInUse()
    return AlreadyAnswered(entry.response)


def _is_held_by(entries: Entries, claim: OrderClaim) -> bool:
    entry = entries.get(claim.digest)
    return entry is not None and entry.claim.claim_id == claim.claim_id
