"""Priorities of models for the next group that is formed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile

# The demand of a model counts as at least this part of the demand that its
# published share of requests predicts.
_MIN_SHARE_OF_EXPECTED_DEMAND = 0.3
# While runners still register, only models whose priority reaches this part of
# the highest one get a group; the others leave the runners to them.
_MIN_SHARE_OF_TOP_PRIORITY = 0.6
# Added to the number of groups, so that models without a group are ordered by
# demand.
_GROUP_COUNT_OFFSET = 0.5


class ModelPriorities:
    """Orders models by the demand per group that they have.

    Parameters
    ----------
    view
        State of the fleet.
    counts
        Number of groups of each model.
    """

    def __init__(self, view: FleetView, counts: Mapping[str, int]) -> None:
        self._view = view
        self._counts = Counter(counts)

    def models(self) -> list[ModelProfile]:
        """Return the models that may get a group now, by falling priority."""
        ordered = sorted(
            self._view.engine.models,
            key=self._priority,
            reverse=True,
        )
        if self._view.registrations_settled or not ordered:
            return ordered
        min_priority = _MIN_SHARE_OF_TOP_PRIORITY * self._priority(ordered[0])
        return [
            model for model in ordered if self._priority(model) >= min_priority
        ]

    def add_group(self, model: ModelProfile) -> None:
        """Count a new group of a model."""
        self._counts[model.name] += 1

    def _priority(self, model: ModelProfile) -> float:
        demand = max(
            self._view.peak_demand.get(model.name, 0),
            _MIN_SHARE_OF_EXPECTED_DEMAND * self._expected_demand(model),
        )
        return demand / (self._counts[model.name] + _GROUP_COUNT_OFFSET)

    def _expected_demand(self, model: ModelProfile) -> float:
        """Return the part of the total demand that the model's share predicts.

        A model with large groups needs fewer of them for the same share.
        """
        total = sum(self._view.peak_demand.values()) or 1
        shares = sum(map(_groups_for_share, self._view.engine.models)) or 1
        return total * _groups_for_share(model) / shares


def _groups_for_share(model: ModelProfile) -> float:
    return model.share / model.group_size
