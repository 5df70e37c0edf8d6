"""Demand for each model, over all daemons."""

from __future__ import annotations

import math
import time
from collections import defaultdict

from cowslipstep.fleet import ServedModel
from cowslipstep.model.loads import ModelDemand
from cowslipstep.serving._state import ServingState

# Time constant of the exponential smoothing, so that groups are not reformed
# after random variation of demand.
_SMOOTHING_TIME_S = 4


class DemandEstimator:
    """Estimates for each model how many full groups its requests keep busy.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._busy_groups: dict[ServedModel, float] = {}
        self._sampled_work_s: dict[ServedModel, float] = {}
        self._sampled_s = time.monotonic()

    def own(self) -> tuple[ModelDemand, ...]:
        """Sample and return the groups that own requests keep busy."""
        self._sample()
        return tuple(
            ModelDemand(served.model, groups, served.service)
            for served, groups in self._busy_groups.items()
        )

    def total(self, service: str) -> dict[str, float]:
        """Return the groups that requests of all daemons keep busy, by model.

        Daemons of an earlier version do not tell the service; what they report
        counts for each service that has the model.
        """
        total: defaultdict[str, float] = defaultdict(float)
        for served, groups in self._busy_groups.items():
            if served.service == service:
                total[served.model] += groups
        for report in self._state.loads.reports:
            for demand in report.demands:
                if demand.service in {service, ''}:
                    total[demand.model] += demand.groups
        return dict(total)

    def _sample(self) -> None:
        now_s = time.monotonic()
        elapsed_s = now_s - self._sampled_s
        if elapsed_s <= 0:
            return
        self._sampled_s = now_s
        for model, work_s in self._state.model_work_s.items():
            busy_groups = (
                work_s - self._sampled_work_s.get(model, 0)
            ) / elapsed_s
            self._sampled_work_s[model] = work_s
            # Smoothing starts at zero, because a first request within a short
            # sample would look like a high rate.
            self._busy_groups[model] = _smoothed(
                self._busy_groups.get(model, 0),
                busy_groups,
                elapsed_s,
            )


def _smoothed(before: float, now: float, elapsed_s: float) -> float:
    return now + math.exp(-elapsed_s / _SMOOTHING_TIME_S) * (before - now)
