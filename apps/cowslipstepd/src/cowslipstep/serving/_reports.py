"""Load reports of this daemon."""

from __future__ import annotations

import itertools

from attrs import evolve

from cowslipstep.model.loads import LoadReport
from cowslipstep.serving._demand import DemandWatch
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._state import ServingState


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

    def make(self) -> LoadReport:
        """Return a report of what holds now."""
        state = self._state
        directory = state.directory
        return LoadReport(
            daemon=state.settings.name,
            sequence=next(self._numbers),
            configuration_version=state.configuration.version,
            loads=state.loads.own.listed(),
            demands=self._demand.own(),
            suspects=state.suspicions.doubts,
            served=state.served,
            keeper=state.is_keeper,
            heard=self._reachability.own_heard,
            runners_revision=0 if directory.lost else directory.revision,
        )


def is_news(told: LoadReport | None, report: LoadReport) -> bool:
    """Whether a report says more than that time has passed."""
    if told is None:
        return True
    same = evolve(
        report,
        sequence=told.sequence,
        demands=told.demands,
        runners_revision=told.runners_revision,
    )
    return same != told
