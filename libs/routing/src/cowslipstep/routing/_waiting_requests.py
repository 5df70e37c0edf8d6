"""Slot requests that wait at a dispatcher, with their deadlines."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from cowslipstep.routing._dispatcher_types import Clock, QueuedSlotRequest
from cowslipstep.routing._ranked_queue import RankedQueue


class WaitingSlotRequests:
    """Finds waiting slot requests by request and by deadline.

    A slot request is deferred while only groups that it avoids have free
    slots, so that it does not block those behind it.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    queue
        Decides which slot request goes next.

    Attributes
    ----------
    queued
        Slot requests in the queue, by request.
    deferred
        Slot requests that were removed from the queue but not granted yet,
        by request.
    """

    def __init__(self, clock: Clock, queue: RankedQueue) -> None:
        self._clock = clock
        self._queue = queue
        self.queued: dict[str, QueuedSlotRequest] = {}
        self.deferred: dict[str, QueuedSlotRequest] = {}
        self._deadlines: list[tuple[float, str]] = []

    @property
    def size(self) -> int:
        """Number of slot requests that wait."""
        return len(self.queued) + len(self.deferred)

    def push(self, queued: QueuedSlotRequest) -> None:
        """Queue a slot request."""
        self.queued[queued.request_id] = queued
        self._queue.push(queued)
        heapq.heappush(
            self._deadlines,
            (queued.expires_s, queued.request_id),
        )

    def pop(self, free_slots: int) -> QueuedSlotRequest | None:
        """Remove and return the slot request that is granted next.

        Returns ``None`` if none waits, or if the free slots are kept for
        others.
        """
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
        """Remove and return a slot request, or ``None`` if it does not wait.

        With ``served`` it counts as served in the rate of its rank.
        """
        if request_id in self.deferred:
            return self.deferred.pop(request_id)
        queued = self.queued.pop(request_id, None)
        if queued is not None:
            self._queue.remove(queued, served=served)
        return queued

    def pop_expired(self) -> Iterator[QueuedSlotRequest]:
        """Remove and yield the slot requests whose deadline has passed."""
        now = self._clock()
        while self._deadlines and self._deadlines[0][0] <= now:
            expires_s, request_id = heapq.heappop(self._deadlines)
            queued = self.queued.get(request_id) or self.deferred.get(
                request_id
            )
            if queued is not None and queued.expires_s == expires_s:
                self.withdraw(request_id)
                yield queued
