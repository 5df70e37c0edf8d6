"""Requests in progress at each upstream, over all daemons."""

from __future__ import annotations

import contextlib
import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TypeVar

from attrs import define

from cowslipstep.model import LoadReport, UpstreamLoad

# Reports come several times a second; one this old is of a dead daemon.
REPORT_LIFETIME_S = 1.5
# Places in the queue of an upstream.
URGENCIES = 10

_Key = TypeVar('_Key')


@define
class _Heard:
    report: LoadReport
    loads: dict[str, UpstreamLoad]
    heard_s: float


class UpstreamLoads:
    """Counts of own requests, and those that peers have told.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> loads = UpstreamLoads(lambda: 0)
    >>> with loads.counted('a'):
    ...     loads.total('a').requests
    1
    >>> loads.total('a').requests
    0
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._own: Counter[str] = Counter()
        self._own_waiting: Counter[tuple[str, int]] = Counter()
        self._heard: dict[str, _Heard] = {}

    @property
    def reports(self) -> tuple[LoadReport, ...]:
        """The newest report of each peer that is not too old."""
        self._drop_old()
        return tuple(heard.report for heard in self._heard.values())

    def recent(self, age_s: float) -> tuple[LoadReport, ...]:
        """Return the newest reports of peers that are not older."""
        oldest_s = self._clock() - age_s
        return tuple(
            heard.report
            for heard in self._heard.values()
            if heard.heard_s >= oldest_s
        )

    @property
    def own(self) -> tuple[UpstreamLoad, ...]:
        """Own requests in progress by upstream."""
        return tuple(
            UpstreamLoad(upstream, count, self._own_waiting_at(upstream))
            for upstream, count in self._own.items()
            if count > 0
        )

    @contextlib.contextmanager
    def counted(self, upstream: str) -> Iterator[None]:
        """Count a request as in progress while the context lasts."""
        with _counted_in(self._own, upstream):
            yield

    @contextlib.contextmanager
    def waiting(self, upstream: str, urgency: int) -> Iterator[None]:
        """Count a request as waiting for its answer meanwhile."""
        with _counted_in(self._own_waiting, (upstream, urgency)):
            yield

    def note(self, report: LoadReport) -> None:
        """Replace what a peer has told before."""
        loads = {load.upstream: load for load in report.loads}
        self._heard[report.daemon] = _Heard(report, loads, self._clock())

    def total(self, upstream: str) -> UpstreamLoad:
        """Return the requests in progress at an upstream, over all daemons."""
        told = [
            heard.loads[upstream]
            for heard in self._heard.values()
            if upstream in heard.loads
        ]
        return UpstreamLoad(
            upstream,
            self._own[upstream] + sum(load.requests for load in told),
            _summed(
                [self._own_waiting_at(upstream)]
                + [load.waiting for load in told],
            ),
        )

    def _own_waiting_at(self, upstream: str) -> tuple[int, ...]:
        if not self._own_waiting:
            return ()
        return tuple(
            self._own_waiting.get((upstream, urgency), 0)
            for urgency in range(URGENCIES)
        )

    def _drop_old(self) -> None:
        oldest_s = self._clock() - REPORT_LIFETIME_S
        for daemon, heard in tuple(self._heard.items()):
            if heard.heard_s < oldest_s:
                self._heard.pop(daemon)


@contextlib.contextmanager
def _counted_in(counts: Counter[_Key], key: _Key) -> Iterator[None]:
    counts[key] += 1
    try:
        yield
    finally:
        counts[key] -= 1
        if counts[key] <= 0:
            counts.pop(key)


def _summed(listed: list[tuple[int, ...]]) -> tuple[int, ...]:
    return tuple(map(sum, itertools.zip_longest(*listed, fillvalue=0)))
