"""Conditional write of a batch of changes to a segment, with retries.

A write without a response needs no special case: the segment is read and the
same changes are applied again. If the first write took effect, a claim finds
its own identifier in the segment and counts as entered.
"""

from __future__ import annotations

import time

import eventlet
from attrs import evolve

from cowslipstep.daemon._segment_batches import (
    OrderLedgerUnavailable,
    SegmentBatch,
    WrittenBatch,
)
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._segment_writes import (
    FailedWrite,
    read_and_write,
    send_write,
    write_from_cache,
)

_MIN_RETRY_DELAY_S = 0.02
_MAX_RETRY_DELAY_S = 0.5
_OUTAGE_SILENCE_S = 1
_MAX_RETRY_TIME_IF_UNAPPLIED_S = 2


def write_batch(store: SegmentStore, batch: SegmentBatch) -> WrittenBatch:
    """Apply a batch to its segment; retry until that is confirmed.

    Raises
    ------
    OrderLedgerUnavailable
        At the batch's deadline. If no write can have taken effect and the
        last failure was no conflict, already when the platform has been
        silent for a second, or two seconds after the batch began.
    """
    retry_until_s = time.monotonic() + _MAX_RETRY_TIME_IF_UNAPPLIED_S
    delay_s = _MIN_RETRY_DELAY_S
    attempt = write_from_cache(store, batch)
    while isinstance(attempt, FailedWrite):
        if _is_final(store, batch, attempt, retry_until_s):
            raise OrderLedgerUnavailable(
                attempt.message,
                may_be_applied=attempt.may_be_applied,
            )
        eventlet.sleep(delay_s)
        delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)
        attempt = _retry(store, batch, attempt)
    return attempt


def _is_final(
    store: SegmentStore,
    batch: SegmentBatch,
    failed: FailedWrite,
    retry_until_s: float,
) -> bool:
    """Return whether a failed write is not retried any more."""
    now_s = time.monotonic()
    if failed.may_be_applied or failed.conflict:
        return now_s > batch.deadline_s
    # A single failed call, or one that the budget of platform calls held
    # back, does not count as an outage.
    outage = now_s - store.last_response_at_s > _OUTAGE_SILENCE_S
    return outage or now_s > min(retry_until_s, batch.deadline_s)


def _retry(
    store: SegmentStore,
    batch: SegmentBatch,
    failed: FailedWrite,
) -> WrittenBatch | FailedWrite:
    if failed.unsent is None:
        attempt = read_and_write(store, batch)
    else:
        attempt = send_write(store, failed.unsent)
    match attempt:
        case FailedWrite() if failed.may_be_applied:
            return evolve(attempt, may_be_applied=True)
    return attempt
