"""Asks that wait at a dispatcher, with their deadlines."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from cowslipstep.routing._dispatcher_types import Clock, QueuedSlotRequest
from cowslipstep.routing._ranked_queue import RankedQueue


class WaitingSlotRequests:
    """Finds queued asks by request and by deadline.

    An ask is set aside when only groups that it avoids have room.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    queue
        Says which ask goes next.

    Attributes
    ----------
    queued
        Asks in the queue, by request.
    aside
        Asks that were taken from the queue but not granted, by request.
    """

    def __init__(self, clock: Clock, queue: RankedQueue) -> None:
        self._clock = clock
        self._queue = queue
        self.queued: dict[str, QueuedSlotRequest] = {}
        self.deferred: dict[str, QueuedSlotRequest] = {}
        self._deadlines: list[tuple[float, str]] = []

    @property
    def size(self) -> int:
        """Number of asks that wait."""
        return len(self.queued) + len(self.deferred)

    def push(self, queued: QueuedSlotRequest) -> None:
        """Queue an ask."""
        self.queued[queued.request_id] = queued
        self._queue.push(queued)
        heapq.heappush(
            self._deadlines,
            (queued.expires_s, queued.request_id),
        )

    def pop(self, free_slots: int) -> QueuedSlotRequest | None:
        """Take the ask that goes next, if the free slots suffice for it."""
        queued = self._queue.pop(free_slots)
        if queued is not None:
            self.queued.pop(queued.request_id)
        return queued

    def withdraw(
        self,
        request_id: str,
        *,
        served: bool = False,
    ) -> QueuedSlotRequest | None:
        """Take out an ask, if it waits."""
        if request_id in self.deferred:
            return self.deferred.pop(request_id)
        queued = self.queued.pop(request_id, None)
        if queued is not None:
            self._queue.remove(queued, served=served)
        return queued

    def pop_expired(self) -> Iterator[QueuedSlotRequest]:
        """Take out the asks whose deadline has passed."""
        now = self._clock()
        while self._deadlines and self._deadlines[0][0] <= now:
            expires_s, request_id = heapq.heappop(self._deadlines)
            queued = self.queued.get(request_id) or self.deferred.get(
                request_id
            )
            if queued is not None and queued.expires_s == expires_s:
                self.withdraw(request_id)
                yield queued
