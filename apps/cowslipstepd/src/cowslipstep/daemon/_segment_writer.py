"""Conditional writes of a batch of changes to one segment.

An answer that was lost needs no special case: the segment is read again and
the same changes are applied again. A claim whose own attempt is found there
has been entered.
"""

from __future__ import annotations

import time

import eventlet
from attrs import frozen

from cowslipstep.daemon._segment_batches import (
    LedgerUnavailable,
    SegmentBatch,
    Written,
)
from cowslipstep.daemon._segment_store import ReadSegment, SegmentStore
from cowslipstep.delivery import Applied, apply_changes
from cowslipstep.model import NotRun
from cowslipstep.platform import (
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)

_RETRY_DELAY_S = 0.02
_MAX_RETRY_DELAY_S = 0.5


def write_batch(store: SegmentStore, batch: SegmentBatch) -> Written:
    """Apply a batch to its segment and return what came of it.

    Raises
    ------
    LedgerUnavailable
        If the platform is down; at once while no write may have taken
        effect, otherwise at the end of the batch's time.
    """
    tried = _try_known(store, batch)
    if isinstance(tried, _Failed) and tried.again:
        tried = _try_until_end(store, batch)
    match tried:
        case _Failed(message):
            raise LedgerUnavailable(message)
    return tried


def _try_until_end(
    store: SegmentStore,
    batch: SegmentBatch,
) -> Written | _Failed:
    delay_s = _RETRY_DELAY_S
    while True:
        eventlet.sleep(delay_s)
        tried = _try_write(store, batch)
        if isinstance(tried, Written) or time.monotonic() > batch.end_s:
            return tried
        delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)


@frozen
class _Failed:
    """A try failed; ``again`` says whether the outcome must be looked up."""

    message: str
    again: bool


def _try_known(store: SegmentStore, batch: SegmentBatch) -> Written | _Failed:
    if batch.known is None:
        return _try_write(store, batch)
    applied = _apply(batch.known, batch)
    if applied.segment == batch.known.segment:
        return _try_write(store, batch)
    return _write(store, batch.known, applied)


def _try_write(store: SegmentStore, batch: SegmentBatch) -> Written | _Failed:
    try:
        known = store.read(batch.name)
    except PlatformUnavailable as error:
        return _Failed(str(error), again=False)
    applied = _apply(known, batch)
    if applied.segment == known.segment:
        return Written(applied, known)
    return _write(store, known, applied)


def _apply(known: ReadSegment, batch: SegmentBatch) -> Applied:
    return apply_changes(
        known.segment,
        batch.changes,
        time.time(),
        batch.retention_s,
    )


def _write(
    store: SegmentStore,
    known: ReadSegment,
    applied: Applied,
) -> Written | _Failed:
    try:
        written = store.write(known, applied.segment)
    except (VersionConflict, ObjectMissing) as conflict:
        return _Failed(str(conflict), again=True)
    except PlatformUnavailable as error:
        sent = not isinstance(error.verdict, NotRun)
        return _Failed(str(error), again=sent)
    return Written(applied, written)
