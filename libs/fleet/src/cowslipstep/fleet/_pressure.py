"""Which models need another group most."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile

# Demand that is assumed at least, as a part of the published share.
_LEAST_DEMAND = 0.3
# While runners still register, a model with less than this part of the
# greatest pressure leaves them to the model that needs them more.
_FAIR_PRESSURE = 0.6
# Keeps the order of models that have no group.
_HALF_GROUP = 0.5


class ModelPressure:
    """Groups that are wanted of each model, for each group there is.

    Parameters
    ----------
    view
        The fleet.
    counts
        Groups of each model.
    """

    def __init__(self, view: FleetView, counts: Mapping[str, int]) -> None:
        self._view = view
        self._counts = Counter(counts)

    def models(self) -> list[ModelProfile]:
        """Return the models that may get a group now, most wanted first."""
        ordered = sorted(
            self._view.engine.models,
            key=self._pressure,
            reverse=True,
        )
        if self._view.settled or not ordered:
            return ordered
        least = _FAIR_PRESSURE * self._pressure(ordered[0])
        return [model for model in ordered if self._pressure(model) >= least]

    def count(self, model: ModelProfile) -> None:
        """Count one more group of a model."""
        self._counts[model.name] += 1

    def _pressure(self, model: ModelProfile) -> float:
        wanted = max(
            self._view.demand.get(model.name, 0),
            _LEAST_DEMAND * self._expected(model),
        )
        return wanted / (self._counts[model.name] + _HALF_GROUP)

    def _expected(self, model: ModelProfile) -> float:
        """Return the part of the demand that the published share means."""
        total = sum(self._view.demand.values()) or 1
        shares = sum(map(_groups_for_share, self._view.engine.models)) or 1
        return total * _groups_for_share(model) / shares


def _groups_for_share(model: ModelProfile) -> float:
    return model.share / model.group_size
