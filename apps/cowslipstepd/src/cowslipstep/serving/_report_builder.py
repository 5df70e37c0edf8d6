"""Builds the load reports of this daemon."""

from __future__ import annotations

import itertools
import time

from attrs import evolve

from cowslipstep.model.loads import LoadReport
from cowslipstep.routing import Relay, subtract_report, sum_reports
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._state import ServingState

# A report that was built this recently is sent to other peers as well.
_REPORT_CACHE_S = 0.02


class ReportBuilder:
    """Builds load reports; those of a relay also sum reports of others.

    Parameters
    ----------
    state
        State of the daemon.
    demand
        Estimates the demand of own requests for each model.
    reachability
        Finds unregistered runners that respond to this daemon.
    """

    def __init__(
        self,
        state: ServingState,
        demand: DemandEstimator,
        reachability: Reachability,
    ) -> None:
        self._state = state
        self._demand = demand
        self._reachability = reachability
        self._sequence_numbers = itertools.count(1)
        self._cached: LoadReport | None = None
        self._cached_at_s: float = 0
        self._total: LoadReport | None = None
        self._summed: dict[str, LoadReport] = {}

    def report_for(self, name: str) -> LoadReport:
        """Return the report for a peer."""
        own = self._own_report()
        match self._state.relay_role.current:
            case Relay():
                return self._relay_report(own, name)
            case _:
                return own

    def _relay_report(self, own: LoadReport, name: str) -> LoadReport:
        if self._state.relay_role.own_domain.contains(name):
            return self._follower_report(own, name)
        passed_on = [
            report
            for report in self._state.loads.reports
            if report.daemon != name
            and not (report.covers_all_daemons or report.from_relay)
        ]
        return sum_reports(own, passed_on)

    def _follower_report(self, own: LoadReport, name: str) -> LoadReport:
        """Return the sum of all reports but that of the receiver."""
        if self._total is None or self._total.sequence != own.sequence:
            self._summed = {
                report.daemon: report
                for report in self._state.loads.reports
                if not report.covers_all_daemons
            }
            self._total = sum_reports(
                own, tuple(self._summed.values()), covers_all_daemons=True
            )
        receiver = self._summed.get(name)
        if receiver is None:
            return self._total
        return subtract_report(self._total, receiver)

    def _own_report(self) -> LoadReport:
        now_s = time.monotonic()
        if self._cached is None or now_s - self._cached_at_s > _REPORT_CACHE_S:
            self._cached = self._build()
            self._cached_at_s = now_s
        return self._cached

    def _build(self) -> LoadReport:
        state = self._state
        return LoadReport(
            daemon=state.settings.name,
            sequence=next(self._sequence_numbers),
            configuration_version=state.configuration.version,
            loads=state.loads.own.loads(),
            demands=self._demand.own(),
            suspected_upstreams=state.suspicions.suspected_upstreams,
            doubts=state.suspicions.doubts,
            has_served=state.has_served,
            is_controller=state.is_controller,
            reachable_unregistered=self._reachability.own_reachable,
            runners_revision=state.runner_table.revision,
            evacuations_revision=state.evacuations.current.revision,
            evacuated_domains=tuple(sorted(state.evacuations.current.domains)),
            store_silences=state.platform.doubts.silences,
            daemons_known=state.cold_runners.listed,
        )


def has_changed(last_sent: LoadReport | None, report: LoadReport) -> bool:
    """Return whether a report has to be sent to a peer.

    Changes of its sequence number, of demand and of the revision of unchanged
    evacuations alone do not count.
    """
    if last_sent is None:
        return True
    comparable = evolve(
        report,
        sequence=last_sent.sequence,
        demands=last_sent.demands,
        evacuations_revision=last_sent.evacuations_revision,
    )
    if not report.from_relay:
        # Only followers of a relay need a new revision of runners at once: they
        # copy the runners when the relay reports it.
        comparable = evolve(
            comparable, runners_revision=last_sent.runners_revision
        )
    return comparable != last_sent
