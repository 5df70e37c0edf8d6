"""Views of the fleet on which the controller decides."""

from __future__ import annotations

from cowslipstep.fleet import (
    EngineProfile,
    FleetView,
    GroupId,
    exclude_evacuated,
)
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._state import ServingState


class FleetViews:
    """Builds views of the fleet from the state of this daemon.

    Parameters
    ----------
    state
        State of the daemon.
    demand
        Estimates the demand for each model.
    reachability
        Probes which runners respond.
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

    def view(
        self,
        service: str,
        engine: EngineProfile,
        departed: frozenset[GroupId],
    ) -> FleetView:
        """Return the current view of the runners of a service.

        ``departed`` are groups whose leaders have confirmed that they left.
        """
        reachable_unregistered = self._reachability.reachable_unregistered()
        view = FleetView(
            runners={
                name: runner
                for name, runner in self._state.runner_table.runners.items()
                if runner.service == service
            },
            engine=engine,
            now_s=boot_time_s(),
            demand=self._demand.total(service),
            # Another daemon may reach a runner from which this one is cut off.
            lost_runners=(
                self._reachability.unreachable - reachable_unregistered
            ),
            known_members=self._reachability.known_members,
            reachable_unregistered=reachable_unregistered,
            departed=departed,
            load_limits_apply=self._load_limits_apply(),
        )
        return exclude_evacuated(view, self._state.evacuations.current)

    def _load_limits_apply(self) -> bool:
        """Return whether weight loads are limited.

        At the first start of a fleet they are not, until any daemon has
        received a request.
        """
        if not self._state.settings.first_start or self._state.has_served:
            return True
        return any(report.has_served for report in self._state.loads.reports)
