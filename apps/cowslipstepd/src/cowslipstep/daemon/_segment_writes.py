"""Single tries to write a batch of changes to one segment."""

from __future__ import annotations

import time

from attrs import frozen

from cowslipstep.daemon._segment_batches import SegmentBatch, Written
from cowslipstep.daemon._segment_store import ReadSegment, SegmentStore
from cowslipstep.delivery import AppliedChanges, apply_changes
from cowslipstep.model import NotRun
from cowslipstep.platform import (
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)


@frozen
class Unsent:
    """A write that was not sent and may be sent as it is."""

    known: ReadSegment
    applied: AppliedChanges


@frozen
class Failed:
    """A try failed.

    ``unknown`` says whether any write so far may have taken effect;
    ``conflict`` whether another daemon wrote first.
    """

    message: str
    unknown: bool = False
    conflict: bool = False
    unsent: Unsent | None = None


def try_known(store: SegmentStore, batch: SegmentBatch) -> Written | Failed:
    """Write a batch to the segment as it was last known, else as it is."""
    if batch.known is None:
        return try_write(store, batch)
    applied = _apply(batch.known, batch)
    if applied.segment == batch.known.segment:
        return try_write(store, batch)
    return write_unsent(store, Unsent(batch.known, applied))


def try_write(store: SegmentStore, batch: SegmentBatch) -> Written | Failed:
    """Read a segment and write a batch to it."""
    try:
        known = store.read(batch.name)
    except PlatformUnavailable as error:
        return Failed(str(error))
    applied = _apply(known, batch)
    if applied.segment == known.segment:
        return Written(applied, known)
    return write_unsent(store, Unsent(known, applied))


def _apply(known: ReadSegment, batch: SegmentBatch) -> AppliedChanges:
    return apply_changes(
        known.segment,
        batch.changes,
        time.time(),
        batch.retention_s,
    )


def write_unsent(store: SegmentStore, unsent: Unsent) -> Written | Failed:
    """Send a conditional write."""
    applied = unsent.applied
    try:
        written = store.write(unsent.known, applied.segment)
    except (VersionConflict, ObjectMissing) as conflict:
        return Failed(str(conflict), conflict=True)
    except PlatformUnavailable as error:
        if isinstance(error.verdict, NotRun):
            return Failed(str(error), unsent=unsent)
        return Failed(str(error), unknown=True)
    return Written(applied, written)
