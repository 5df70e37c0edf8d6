"""Continuous batching: a limited number of slots, granted by priority."""

from __future__ import annotations

import contextlib
import heapq
import itertools
from collections.abc import Iterator

from eventlet.event import Event


class Batch:
    """Slots of one engine host; those of the leader serve its group.

    Parameters
    ----------
    slots
        Largest number of requests that run at once.
    """

    def __init__(self, slots: int) -> None:
        self._free_slots = slots
        self._arrival_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Event]] = []
        self._running = 0

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @contextlib.contextmanager
    def slot(self, priority: int) -> Iterator[None]:
        """Hold a slot; the lowest priority number is served first."""
        self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    def _acquire(self, priority: int) -> None:
        if self._free_slots and not self._waiting:
            self._free_slots -= 1
            self._running += 1
            return
        granted = Event()
        entry = (priority, next(self._arrival_numbers), granted)
        heapq.heappush(self._waiting, entry)
        try:
            granted.wait()
        except BaseException:
            self._abandon_wait(entry)
            raise

    def _abandon_wait(self, entry: tuple[int, int, Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
            return
        # The slot was granted before the exception arrived: pass it on.
        self._release()

    def _release(self) -> None:
        self._running -= 1
        if not self._waiting:
            self._free_slots += 1
            return
        _, _, granted = heapq.heappop(self._waiting)
        self._running += 1
        granted.send(None)
