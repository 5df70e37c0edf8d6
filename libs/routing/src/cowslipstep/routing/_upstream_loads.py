"""Requests in progress at each upstream, summed over all daemons."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from cowslipstep.model.loads import LoadReport, UpstreamLoad
from cowslipstep.routing._own_loads import OwnLoads
from cowslipstep.routing._report_sums import add_loads

# Daemons send a report several times a second; a daemon whose last report is
# older than this is dead or unreachable, and its requests no longer count.
REPORT_LIFETIME_S = 1.5


@define
class _ReceivedReport:
    report: LoadReport
    loads: dict[str, UpstreamLoad]
    received_s: float


class UpstreamLoads:
    """Requests of this daemon, and those of the load reports of its peers.

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
        """Requests that this daemon has in progress."""
        return self._own

    @property
    def reports(self) -> tuple[LoadReport, ...]:
        """Latest report of each peer, without expired ones."""
        return self.recent(REPORT_LIFETIME_S)

    @property
    def report_ages_s(self) -> tuple[float, ...]:
        """Ages of the reports that have not expired.

        Seconds since they arrived; a relay's reports are older by its period.
        """
        now_s = self._clock()
        ages_s = (
            now_s - received.received_s for received in self._received.values()
        )
        return tuple(age_s for age_s in ages_s if age_s <= REPORT_LIFETIME_S)

    def recent(self, age_s: float) -> tuple[LoadReport, ...]:
        """Return the latest report of each peer that is at most this old."""
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
        """Store a report instead of the last one of the same source.

        Parameters
        ----------
        report
            The report.
        source
            Where the report comes from; the sender if empty. The relays of
            one failure domain are one source, so that a change of the relay
            does not count its requests twice.
        replace_all
            Whether the report covers all daemons, and so replaces the
            reports of all sources.
        """
        if replace_all:
            self._received.clear()
        loads = {load.upstream: load for load in report.loads}
        received = _ReceivedReport(report, loads, self._clock())
        self._received[source or report.daemon] = received

    def total(self, upstream: str) -> UpstreamLoad:
        """Return the load of an upstream, summed over all daemons."""
        earliest_s = self._clock() - REPORT_LIFETIME_S
        loads = [self._own.load(upstream)]
        for received in self._received.values():
            if upstream in received.loads and received.received_s >= earliest_s:
                loads.append(received.loads[upstream])
        return add_loads(upstream, loads)
