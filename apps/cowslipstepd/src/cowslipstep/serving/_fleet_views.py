"""What the keeper decides on."""

from __future__ import annotations

from cowslipstep.fleet import EngineProfile, FleetView, GroupKey
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._demand import DemandWatch
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._state import ServingState


class FleetViews:
    """Makes views of the fleet from what this daemon knows.

    Parameters
    ----------
    state
        State of the daemon.
    demand
        Tells what requests need of each model.
    reachability
        Tells which runners answer.
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

    def view(
        self,
        service: str,
        engine: EngineProfile,
        left: frozenset[GroupKey],
    ) -> FleetView:
        """Return what is known of the runners of a service now.

        ``left`` are the groups whose heads have said that they left.
        """
        return FleetView(
            runners={
                name: runner
                for name, runner in self._state.directory.runners.items()
                if runner.service == service
            },
            engine=engine,
            now_s=boot_time_s(),
            demand=self._demand.total(),
            lost_runners=self._reachability.lost,
            members=self._reachability.members,
            reachable_unregistered=self._reachability.heard(),
            departed=left,
            paced=self._is_paced(),
        )

    def _is_paced(self) -> bool:
        """Whether loads count: not before the first request of all."""
        if not self._state.settings.first_start or self._state.served:
            return True
        return any(report.has_served for report in self._state.loads.reports)
