"""Ledger of orders, stored in platform objects."""

from __future__ import annotations

import collections
import math
import time
from collections.abc import Iterable

import eventlet
from attrs import field, frozen
from eventlet.event import Event

from cowslipstep.daemon._order_ledger_calls import LocatedChange
from cowslipstep.daemon._segment_batches import (
    OrderLedgerUnavailable,
    SegmentBatch,
)
from cowslipstep.daemon._segment_cache import SegmentCache
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._segment_writer import write_batch
from cowslipstep.delivery import (
    AppliedChanges,
    ChangeOutcome,
    ClaimOrder,
    EntryLocation,
    OrderChange,
)

_WRITE_TIMEOUT_S = 4
_WRITE_PERIOD_S = 0.25
_MAX_BATCH_CHANGES = 500


@frozen(eq=False)
class _QueuedChange:
    change: OrderChange
    retention_s: float
    done: Event = field(factory=Event)


class OrderLedger:
    """Applies changes to segments, many of them in one conditional write.

    Each segment with queued changes has one task that writes it. The first
    change is written at once; changes that arrive during a write share the
    next one.

    Parameters
    ----------
    store
        Reads and writes segments.
    write_timeout_s
        Time after which a batch whose write is not confirmed fails, seconds.
    write_period_s
        Shortest time from one write of a time slot's segment to the next,
        seconds.
    """

    def __init__(
        self,
        store: SegmentStore,
        write_timeout_s: float = _WRITE_TIMEOUT_S,
        write_period_s: float = _WRITE_PERIOD_S,
    ) -> None:
        self._store = store
        self._cache = SegmentCache()
        self._write_timeout_s = write_timeout_s
        self._write_period_s = write_period_s
        self._queues: dict[str, collections.deque[_QueuedChange]] = {}

    def apply(self, located: LocatedChange) -> ChangeOutcome:
        """Apply a change with the next write of its segment.

        Raises
        ------
        OrderLedgerUnavailable
            If the platform does not confirm the write in time.
        """
        location = located.location
        retention_s = located.retention_s if location.in_bucket else math.inf
        queued = _QueuedChange(located.change, retention_s)
        queue = self._queues.get(location.segment)
        if queue is None:
            self._queues[location.segment] = collections.deque([queued])
            eventlet.spawn(self._write_segment, location)
        else:
            queue.append(queued)
        return queued.done.wait()

    def _write_segment(self, location: EntryLocation) -> None:
        # Many orders share the segment of a time slot; a write period
        # collects their changes. A bucket has few orders, so a change need
        # not wait for others.
        period_s = 0 if location.in_bucket else self._write_period_s
        queue = self._queues[location.segment]
        while queue:
            next_s = time.monotonic() + period_s
            self._write(location.segment, _pop_batch(queue))
            eventlet.sleep(max(0, next_s - time.monotonic()))
        self._queues.pop(location.segment)

    def _write(self, name: str, queued: list[_QueuedChange]) -> None:
        try:
            written = write_batch(self._store, self._batch(name, queued))
        except Exception as error:
            _fail_all(queued, error)
            return
        self._cache.add(written.segment)
        _complete_all(queued, written.applied)

    def _batch(self, name: str, queued: list[_QueuedChange]) -> SegmentBatch:
        cached = self._cache.pop(name)
        changes = tuple(entry.change for entry in queued)
        if any(isinstance(change, ClaimOrder) for change in changes):
            # A batch with a claim begins with a read. During an outage the
            # read fails before anything is written, so that the claim was
            # provably not applied.
            cached = None
        return SegmentBatch(
            name,
            changes,
            min(entry.retention_s for entry in queued),
            time.monotonic() + self._write_timeout_s,
            cached,
        )


def _pop_batch(
    queue: collections.deque[_QueuedChange],
) -> list[_QueuedChange]:
    size = min(len(queue), _MAX_BATCH_CHANGES)
    return [queue.popleft() for _ in range(size)]


def _complete_all(
    batch: Iterable[_QueuedChange],
    applied: AppliedChanges,
) -> None:
    for queued, outcome in zip(batch, applied.outcomes, strict=True):
        queued.done.send(outcome)


def _fail_all(batch: Iterable[_QueuedChange], error: Exception) -> None:
    may_be_applied = getattr(error, 'may_be_applied', True)
    for queued in batch:
        failure = OrderLedgerUnavailable(
            str(error), may_be_applied=may_be_applied
        )
        queued.done.send_exception(failure)
