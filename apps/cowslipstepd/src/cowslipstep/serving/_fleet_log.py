"""Log lines of the controller on groups, runners and demand."""

from __future__ import annotations

from collections.abc import Mapping

from loguru import logger

from cowslipstep.fleet import FleetView, summarize_fleet

_DEMAND_DECIMALS = 2
_SUMMARY_PERIOD_S = 1


class FleetLog:
    """Logs once a second what the runners of each service do."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}

    def log_summary(self, service: str, view: FleetView, term: int) -> None:
        """Log serving groups, demand and runners, if that is due."""
        if view.now_s < self._due_s.get(service, 0):
            return
        self._due_s[service] = view.now_s + _SUMMARY_PERIOD_S
        summary = summarize_fleet(view)
        logger.bind(
            service=service,
            term=term,
            serving_groups=dict(summary.serving_groups),
            demand=_rounded(view.demand),
            **{use.value: count for use, count in summary.runners.items()},
        ).info('groups and runners')


def log_group_change(view: FleetView, term: int) -> None:
    """Log the state on which groups are formed or closed."""
    logger.bind(
        term=term,
        runners=len(view.runners),
        lost=len(view.lost_runners),
        evacuated=len(view.evacuated),
        demand=_rounded(view.demand),
    ).info('groups are formed or closed')


def _rounded(demand: Mapping[str, float]) -> dict[str, float]:
    return {
        model: round(groups, _DEMAND_DECIMALS)
        for model, groups in demand.items()
    }
