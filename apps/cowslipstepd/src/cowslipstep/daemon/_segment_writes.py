"""Single conditional writes of a batch of changes to a segment."""

from __future__ import annotations

import time

from attrs import frozen

from cowslipstep.daemon._segment_batches import SegmentBatch, WrittenBatch
from cowslipstep.daemon._segment_store import SegmentStore, VersionedSegment
from cowslipstep.delivery import AppliedChanges, apply_changes
from cowslipstep.model import NotRun
from cowslipstep.platform import (
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)


@frozen
class UnsentWrite:
    """A write that did not reach the platform and may be sent unchanged."""

    known: VersionedSegment
    applied: AppliedChanges


@frozen
class FailedWrite:
    """A read or a write of a segment failed.

    Parameters
    ----------
    message
        Description of the failure.
    may_be_applied
        Whether this or an earlier write of the batch may have taken effect.
    conflict
        Whether another daemon wrote or deleted the segment meanwhile.
    unsent
        The write, if it is known not to have reached the platform.
    """

    message: str
    may_be_applied: bool = False
    conflict: bool = False
    unsent: UnsentWrite | None = None


def write_from_cache(
    store: SegmentStore,
    batch: SegmentBatch,
) -> WrittenBatch | FailedWrite:
    """Write a batch on top of the cached segment, if there is one.

    The segment is read first if none is cached, or if the batch changes
    nothing in the cached one: only a read can then confirm the outcomes.
    """
    if batch.cached is None:
        return read_and_write(store, batch)
    applied = _apply(batch.cached, batch)
    if applied.segment == batch.cached.segment:
        return read_and_write(store, batch)
    return send_write(store, UnsentWrite(batch.cached, applied))


def read_and_write(
    store: SegmentStore,
    batch: SegmentBatch,
) -> WrittenBatch | FailedWrite:
    """Read a segment and write a batch on top of it.

    Nothing is written if the batch changes nothing.
    """
    try:
        known = store.read(batch.name)
    except PlatformUnavailable as error:
        return FailedWrite(str(error))
    applied = _apply(known, batch)
    if applied.segment == known.segment:
        return WrittenBatch(applied, known)
    return send_write(store, UnsentWrite(known, applied))


def _apply(known: VersionedSegment, batch: SegmentBatch) -> AppliedChanges:
    return apply_changes(
        known.segment,
        batch.changes,
        time.time(),
        batch.retention_s,
    )


def send_write(
    store: SegmentStore,
    unsent: UnsentWrite,
) -> WrittenBatch | FailedWrite:
    """Send a conditional write."""
    applied = unsent.applied
    try:
        written = store.write(unsent.known, applied.segment)
    except (VersionConflict, ObjectMissing) as conflict:
        return FailedWrite(str(conflict), conflict=True)
    except PlatformUnavailable as error:
        if isinstance(error.verdict, NotRun):
            return FailedWrite(str(error), unsent=unsent)
        return FailedWrite(str(error), may_be_applied=True)
    return WrittenBatch(applied, written)
