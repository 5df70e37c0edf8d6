"""Segments of the ledger of orders and the effect of changes on them.

A segment is stored as one platform object. A daemon reads it, applies a
batch of changes and replaces it, on condition that no other daemon wrote it
meanwhile. After any failure the daemon reads the segment again and applies
the same changes again, so applying a change twice must have the same effect
as applying it once.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve, field, frozen

from cowslipstep.delivery._change_outcomes import ChangeOutcome
from cowslipstep.delivery._entry_changes import Entries, apply_change
from cowslipstep.delivery._orders import (
    OrderChange,
    OrderEntry,
    OrderResponse,
)

MAX_STORED_BODY_BYTES = 1024
_MAX_STORED_BODIES = 256


@frozen
class Segment:
    """Entries of one segment by the digest of their key."""

    entries: Entries = field(factory=dict)


@frozen
class AppliedChanges:
    """The segment after a batch of changes, and the outcome of each."""

    segment: Segment
    outcomes: tuple[ChangeOutcome, ...]


def apply_changes(
    segment: Segment,
    changes: Iterable[OrderChange],
    now_unix_s: float,
    retention_s: float,
) -> AppliedChanges:
    """Drop expired entries, then apply the changes in order.

    To limit the size of the object, only the newest responses keep their
    body.

    Examples
    --------
    >>> from cowslipstep.delivery import ClaimOrder, OrderClaim
    >>> claim = OrderClaim('digest', 'claim', 'fingerprint')
    >>> applied = apply_changes(Segment(), [ClaimOrder(claim)], 0, 60)
    >>> applied.outcomes
    (ClaimEntered(),)
    """
    oldest_unix_s = now_unix_s - retention_s
    entries = {
        digest: entry
        for digest, entry in segment.entries.items()
        if entry.entered_unix_s > oldest_unix_s
    }
    outcomes = tuple(
        apply_change(entries, change, now_unix_s) for change in changes
    )
    return AppliedChanges(Segment(_drop_old_bodies(entries)), outcomes)


def _drop_old_bodies(entries: Entries) -> Entries:
    with_body = [entry for entry in entries.values() if _has_body(entry)]
    with_body.sort(key=lambda entry: entry.entered_unix_s, reverse=True)
    for entry in with_body[_MAX_STORED_BODIES:]:
        entries[entry.claim.digest] = _without_body(entry)
    return entries


def _has_body(entry: OrderEntry) -> bool:
    return entry.response is not None and entry.response.body is not None


def _without_body(entry: OrderEntry) -> OrderEntry:
    match entry.response:
        case OrderResponse(status, content_type):
            bare = OrderResponse(status, content_type, None)
            return evolve(entry, response=bare)
    return entry
