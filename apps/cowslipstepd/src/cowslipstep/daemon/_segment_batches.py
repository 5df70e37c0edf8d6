"""Batches of changes to a segment of the order ledger."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._segment_store import ReadSegment
from cowslipstep.delivery import AppliedChanges, OrderChange
from cowslipstep.model import CowslipstepError


class OrderLedgerUnavailable(CowslipstepError):
    """The platform did not confirm a change of the order ledger.

    Parameters
    ----------
    message
        What was seen.
    unknown
        Whether the change may have taken effect, or still may.
    """

    def __init__(self, message: str, *, unknown: bool) -> None:
        super().__init__(message)
        self._unknown = unknown

    @property
    def unknown(self) -> bool:
        """Whether the change may have taken effect, or still may."""
        return self._unknown


@frozen
class SegmentBatch:
    """Changes for one segment.

    ``known`` is the segment as this daemon wrote it last, where a read can
    be saved.

    Parameters
    ----------
    name
        Name of the segment.
    changes
        Changes, applied in order.
    retention_s
        Age at which entries are dropped, seconds.
    end_s
        When to give up, by the monotonic clock.
    """

    name: str
    changes: tuple[OrderChange, ...]
    retention_s: float
    end_s: float
    known: ReadSegment | None = None


@frozen
class Written:
    """What came of a batch, and the segment as it is now."""

    applied: AppliedChanges
    segment: ReadSegment
