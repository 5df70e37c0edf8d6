"""Segments of the order ledger: what a batch of changes does to one.

A segment is one platform object. A daemon reads it, applies a batch of
changes and writes it back on condition that nobody else wrote meanwhile;
after any failure it reads again and applies the same changes again. Applying
a change twice is therefore the same as applying it once.
"""

from __future__ import annotations

from collections.abc import Iterable

from attrs import evolve, field, frozen

from cowslipstep.delivery._entering import Entries, apply_change
from cowslipstep.delivery._entry_results import EntryResult
from cowslipstep.delivery._orders import (
    OrderChange,
    OrderEntry,
    OrderResponse,
)

MAX_ANSWER_BYTES = 1024
_MAX_ANSWERS = 256


@frozen
class Segment:
    """Entries of one segment by digest."""

    entries: Entries = field(factory=dict)


@frozen
class Applied:
    """A changed segment and the result of each change."""

    segment: Segment
    outcomes: tuple[EntryResult, ...]


def apply_changes(
    segment: Segment,
    changes: Iterable[OrderChange],
    now_unix_s: float,
    retention_s: float,
) -> Applied:
    """Apply changes in order, after dropping entries that have expired.

    Examples
    --------
    >>> from cowslipstep.delivery import ClaimOrder, OrderClaim
    >>> claim = OrderClaim('digest', 'attempt', 'fingerprint')
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
    return Applied(Segment(_drop_old_answers(entries)), outcomes)


def _drop_old_answers(entries: Entries) -> Entries:
    kept = [entry for entry in entries.values() if _keeps_body(entry)]
    kept.sort(key=lambda entry: entry.entered_unix_s, reverse=True)
    for entry in kept[_MAX_ANSWERS:]:
        entries[entry.claim.digest] = _without_body(entry)
    return entries


def _keeps_body(entry: OrderEntry) -> bool:
    return entry.answer is not None and entry.answer.body is not None


def _without_body(entry: OrderEntry) -> OrderEntry:
    match entry.answer:
        case OrderResponse(status, content_type):
            bare = OrderResponse(status, content_type, None)
            return evolve(entry, answer=bare)
    return entry
