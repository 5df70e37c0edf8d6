"""Load reports of this daemon."""

from __future__ import annotations

import itertools
import time

from attrs import evolve

from cowslipstep.model.loads import LoadReport
from cowslipstep.routing import Relay, sum_reports
from cowslipstep.serving._demand import DemandWatch
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._state import ServingState

# Reports to several peers at about the same time are made once.
_SAME_S = 0.02


class ReportMaker:
    """Makes load reports.

    Parameters
    ----------
    state
        State of the daemon.
    demand
        What its requests need of each model.
    reachability
        Which vanished runners answer it.
    """

    def __init__(
        self,
        state: ServingState,
        demand: DemandWatch,
        reachability: Reachability,
    ) -> None:
        self._state = state
        self._demand = demand
        self._reachability = reachability
        self._numbers = itertools.count(1)
        self._made: LoadReport | None = None
        self._made_s: float = 0

    def for_peer(self, name: str) -> LoadReport:
        """Return what a peer is told now."""
        own = self._own()
        match self._state.role.current:
            case Relay():
                return self._relayed(own, name)
            case _:
                return own

    def _relayed(self, own: LoadReport, name: str) -> LoadReport:
        near = self._state.role.near.holds(name)
        passed_on = [
            report
            for report in self._state.loads.reports
            if report.daemon != name
            and not report.covers_all_daemons
            and (near or not report.from_relay)
        ]
        return sum_reports(own, passed_on, whole=near)

    def _own(self) -> LoadReport:
        now_s = time.monotonic()
        if self._made is None or now_s - self._made_s > _SAME_S:
            self._made = self._make()
            self._made_s = now_s
        return self._made

    def _make(self) -> LoadReport:
        state = self._state
        return LoadReport(
            daemon=state.settings.name,
            sequence=next(self._numbers),
            configuration_version=state.configuration.version,
            loads=state.loads.own.listed(),
            demands=self._demand.own(),
            suspected_upstreams=state.suspicions.doubts,
            has_served=state.served,
            is_controller=state.is_controller,
            reachable_unregistered=self._reachability.own_heard,
            runners_revision=state.directory.revision,
        )


def is_news(told: LoadReport | None, report: LoadReport) -> bool:
    """Whether a report says more than that time has passed."""
    if told is None:
        return True
    same = evolve(report, sequence=told.sequence, demands=told.demands)
    if not report.from_relay:
        # Only followers of a relay learn of runners from reports.
        same = evolve(same, runners_revision=told.runners_revision)
    return same != told
