"""Requests that this daemon has in progress at each upstream."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Iterator
from typing import TypeVar

from cowslipstep.model.loads import UpstreamLoad

# Number of urgency levels in the queue of an upstream.
URGENCY_LEVELS = 10

_Key = TypeVar('_Key')


class OwnLoads:
    """Counts the requests in progress, and those whose response has not begun.

    Examples
    --------
    >>> own = OwnLoads()
    >>> with own.counted('a'), own.waiting('a', 2):
    ...     own.load('a').waiting_by_urgency[2]
    1
    >>> own.load('a').requests
    0
    """

    def __init__(self) -> None:
        self._requests: Counter[str] = Counter()
        self._waiting: Counter[tuple[str, int]] = Counter()

    @property
    def requests(self) -> int:
        """Number of requests in progress at all upstreams."""
        return self._requests.total()

    @contextlib.contextmanager
    def counted(self, upstream: str) -> Iterator[None]:
        """Count a request as in progress for the duration of the context."""
        with _counted_in(self._requests, upstream):
            yield

    @contextlib.contextmanager
    def waiting(self, upstream: str, urgency: int) -> Iterator[None]:
        """Count a request as waiting for the duration of the context."""
        with _counted_in(self._waiting, (upstream, urgency)):
            yield

    def requests_at(self, upstream: str) -> int:
        """Return the number of requests in progress at an upstream."""
        return self._requests[upstream]

    def load(self, upstream: str) -> UpstreamLoad:
        """Return the load of an upstream by requests of this daemon."""
        return UpstreamLoad(
            upstream,
            self._requests[upstream],
            tuple(
                self._waiting[upstream, urgency]
                for urgency in range(URGENCY_LEVELS)
            ),
        )

    def loads(self) -> tuple[UpstreamLoad, ...]:
        """Return the load of each upstream that has requests in progress."""
        return tuple(map(self.load, self._requests))


@contextlib.contextmanager
def _counted_in(counts: Counter[_Key], key: _Key) -> Iterator[None]:
    counts[key] += 1
    try:
        yield
    finally:
        counts[key] -= 1
        if counts[key] <= 0:
            counts.pop(key)
