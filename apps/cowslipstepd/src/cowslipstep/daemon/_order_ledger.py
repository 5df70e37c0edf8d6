"""Order ledger: claims of keyed orders, kept in platform objects."""

from __future__ import annotations

import collections
import math
import time
from collections.abc import Iterable

import eventlet
from attrs import field, frozen
from eventlet.event import Event

from cowslipstep.daemon._ledger_calls import PlacedChange
from cowslipstep.daemon._segment_batches import (
    LedgerUnavailable,
    SegmentBatch,
)
from cowslipstep.daemon._segment_cache import SegmentCache
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._segment_writer import write_batch
from cowslipstep.delivery import (
    Applied,
    ClaimOrder,
    EntryResult,
    OrderChange,
    SegmentPlace,
)

_WRITE_TIMEOUT_S = 4
_WRITE_PERIOD_S = 0.25
_MAX_BATCH = 500


@frozen(eq=False)
class _Waiting:
    change: OrderChange
    retention_s: float
    done: Event = field(factory=Event)


class OrderLedger:
    """Applies changes to segments, many in one conditional write.

    One task writes each segment that has changes waiting. The first change
    is written at once; those that come meanwhile share the next write.

    Parameters
    ----------
    store
        Reads and writes segments.
    write_timeout_s
        How long the outcome of a write is looked up, seconds.
    write_period_s
        Time between two writes of a segment that many orders share.
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
        self._waiting: dict[str, collections.deque[_Waiting]] = {}

    def apply(self, placed: PlacedChange) -> EntryResult:
        """Apply a change in the next write of its segment."""
        place = placed.place
        kept_s = placed.retention_s if place.expires else math.inf
        entry = _Waiting(placed.change, kept_s)
        waiting = self._waiting.get(place.name)
        if waiting is None:
            self._waiting[place.name] = collections.deque([entry])
            eventlet.spawn(self._write_segment, place)
        else:
            waiting.append(entry)
        return entry.done.wait()

    def _write_segment(self, place: SegmentPlace) -> None:
        # Many orders share a segment of their time: it is written at a
        # steady pace. A bucket holds few orders, which need not wait.
        period_s = 0 if place.expires else self._write_period_s
        waiting = self._waiting[place.name]
        while waiting:
            next_s = time.monotonic() + period_s
            self._write(place.name, _take(waiting))
            eventlet.sleep(max(0, next_s - time.monotonic()))
        self._waiting.pop(place.name)

    def _write(self, name: str, waiting: list[_Waiting]) -> None:
        try:
            written = write_batch(self._store, self._batch(name, waiting))
        except Exception as error:
            _fail_all(waiting, error)
            return
        self._cache.keep(written.segment)
        _answer_all(waiting, written.applied)

    def _batch(self, name: str, waiting: list[_Waiting]) -> SegmentBatch:
        known = self._cache.take(name)
        changes = tuple(entry.change for entry in waiting)
        if any(isinstance(change, ClaimOrder) for change in changes):
            # A claim begins with a read, which fails at once in an outage.
            known = None
        return SegmentBatch(
            name,
            changes,
            min(entry.retention_s for entry in waiting),
            time.monotonic() + self._write_timeout_s,
            known,
        )


def _take(waiting: collections.deque[_Waiting]) -> list[_Waiting]:
    size = min(len(waiting), _MAX_BATCH)
    return [waiting.popleft() for _ in range(size)]


def _answer_all(batch: Iterable[_Waiting], applied: Applied) -> None:
    for entry, outcome in zip(batch, applied.outcomes, strict=True):
        entry.done.send(outcome)


def _fail_all(batch: Iterable[_Waiting], error: Exception) -> None:
    unknown = getattr(error, 'unknown', True)
    for entry in batch:
        failure = LedgerUnavailable(str(error), unknown=unknown)
        entry.done.send_exception(failure)
