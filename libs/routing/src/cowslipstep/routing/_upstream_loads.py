"""Requests in progress at each upstream, over all daemons."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from cowslipstep.model.loads import LoadReport, UpstreamLoad
from cowslipstep.routing._own_loads import OwnLoads
from cowslipstep.routing._report_sums import add_loads

# Reports come several times a second; one this old is of a dead daemon.
REPORT_LIFETIME_S = 1.5


@define
class _ReceivedReport:
    report: LoadReport
    loads: dict[str, UpstreamLoad]
    received_s: float


class UpstreamLoads:
    """Own requests, and those that peers have told.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> loads = UpstreamLoads(lambda: 0)
    >>> loads.record(LoadReport('b', 1, 0, (UpstreamLoad('a', 2),)))
    >>> with loads.own.counted('a'):
    ...     loads.total('a').requests
    3
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._own = OwnLoads()
        self._received: dict[str, _ReceivedReport] = {}

    @property
    def own(self) -> OwnLoads:
        """Own requests in progress."""
        return self._own

    @property
    def reports(self) -> tuple[LoadReport, ...]:
        """The newest report of each peer that is not too old."""
        return self.recent(REPORT_LIFETIME_S)

    @property
    def oldest_age_s(self) -> float:
        """Age of the oldest report that counts; zero without any."""
        now_s = self._clock()
        ages_s = (
            now_s - received.received_s for received in self._received.values()
        )
        counted = (age_s for age_s in ages_s if age_s <= REPORT_LIFETIME_S)
        return max(counted, default=0)

    def recent(self, age_s: float) -> tuple[LoadReport, ...]:
        """Return the newest report of each peer, if it is not older."""
        earliest_s = self._clock() - age_s
        return tuple(
            received.report
            for received in self._received.values()
            if received.received_s >= earliest_s
        )

    def record(
        self,
        report: LoadReport,
        source: str = '',
        *,
        replace_all: bool = False,
    ) -> None:
        """Replace what the same source, or if ``replace_all`` any, has told.

        The source is the sender unless another one is named.
        """
        if replace_all:
            self._received.clear()
        loads = {load.upstream: load for load in report.loads}
        received = _ReceivedReport(report, loads, self._clock())
        self._received[source or report.daemon] = received

    def total(self, upstream: str) -> UpstreamLoad:
        """Return the requests in progress at an upstream, over all daemons."""
        earliest_s = self._clock() - REPORT_LIFETIME_S
        loads = [self._own.load(upstream)]
        for received in self._received.values():
            if upstream in received.loads and received.received_s >= earliest_s:
                loads.append(received.loads[upstream])
        return add_loads(upstream, loads)
