"""Batches of changes to a segment of the ledger of orders."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.daemon._segment_store import VersionedSegment
from cowslipstep.delivery import AppliedChanges, OrderChange
from cowslipstep.model import CowslipstepError


class OrderLedgerUnavailable(CowslipstepError):
    """A change of the ledger of orders was not confirmed.

    Either the platform did not confirm it to the daemon that wrote it, or the
    daemon that it was forwarded to did not reply.

    Parameters
    ----------
    message
        Description of the failure.
    may_be_applied
        Whether the change may have been applied, or may be applied later by
        a write that is still on its way.
    """

    def __init__(self, message: str, *, may_be_applied: bool) -> None:
        super().__init__(message)
        self._may_be_applied = may_be_applied

    @property
    def may_be_applied(self) -> bool:
        """Whether the change may have been applied, or may be later."""
        return self._may_be_applied


@frozen
class SegmentBatch:
    """Changes that one write applies to a segment.

    Parameters
    ----------
    name
        Name of the segment.
    changes
        Changes, applied in order.
    retention_s
        Age at which entries are dropped, seconds.
    deadline_s
        Monotonic clock reading after which a write is not retried.
    cached
        The segment as this daemon wrote it last, if the batch may begin
        without a read.
    """

    name: str
    changes: tuple[OrderChange, ...]
    retention_s: float
    deadline_s: float
    cached: VersionedSegment | None = None


@frozen
class WrittenBatch:
    """The applied changes of a batch, and the segment that holds them."""

    applied: AppliedChanges
    segment: VersionedSegment
