"""Conditional writes of a batch of changes to one segment.

An answer that was lost needs no special case: the segment is read again and
the same changes are applied again. A claim whose own attempt is found there
has been entered.
"""

from __future__ import annotations

import time

import eventlet
from attrs import evolve

from cowslipstep.daemon._segment_batches import (
    OrderLedgerUnavailable,
    SegmentBatch,
    Written,
)
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._segment_writes import (
    Failed,
    try_known,
    try_write,
    write_unsent,
)

_RETRY_DELAY_S = 0.02
_MAX_RETRY_DELAY_S = 0.5
_OUTAGE_AFTER_S = 1
_PATIENCE_S = 2


def write_batch(store: SegmentStore, batch: SegmentBatch) -> Written:
    """Apply a batch to its segment and return what came of it.

    Raises
    ------
    LedgerUnavailable
        If the platform has not answered for a while and no write may have
        taken effect; otherwise at the end of the batch's time.
    """
    patient_until_s = time.monotonic() + _PATIENCE_S
    delay_s = _RETRY_DELAY_S
    tried = try_known(store, batch)
    while isinstance(tried, Failed):
        if _gives_up(store, batch, tried, patient_until_s):
            raise OrderLedgerUnavailable(tried.message, unknown=tried.unknown)
        eventlet.sleep(delay_s)
        delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)
        tried = _try_again(store, batch, tried)
    return tried


def _gives_up(
    store: SegmentStore,
    batch: SegmentBatch,
    failed: Failed,
    patient_until_s: float,
) -> bool:
    now_s = time.monotonic()
    if failed.unknown or failed.conflict:
        return now_s > batch.end_s
    # One failed call, or one that the budget held back, is no outage.
    outage = now_s - store.answered_at_s > _OUTAGE_AFTER_S
    return outage or now_s > min(patient_until_s, batch.end_s)


def _try_again(
    store: SegmentStore,
    batch: SegmentBatch,
    failed: Failed,
) -> Written | Failed:
    if failed.unsent is None:
        tried = try_write(store, batch)
    else:
        tried = write_unsent(store, failed.unsent)
    match tried:
        case Failed() if failed.unknown:
            return evolve(tried, unknown=True)
    return tried
