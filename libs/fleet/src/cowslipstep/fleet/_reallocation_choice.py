"""Choice of the reallocation that helps the busiest model most."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._possible_reallocations import (
    PossibleReallocations,
    Reallocation,
)

# Groups that are less busy than this serve their model well.
_BUSY = 0.6
# The busier of the two models has to become this much less busy.
_GAIN = 0.85
# A model whose groups would be busier than this has none to give: groups that
# close serve nobody for seconds, which costs most where all are needed. Demand
# counts requests at their full length, so that groups carry more than 1.
_FULL = 1.3


class ReallocationChoice:
    """Looks for the reallocation that helps the busiest model most.

    Parameters
    ----------
    view
        The fleet.
    counts
        Groups of each model that serve, or will soon.
    possible
        Finds reallocations between two models.
    """

    def __init__(
        self,
        view: FleetView,
        counts: Mapping[str, int],
        possible: PossibleReallocations,
    ) -> None:
        self._view = view
        self._counts = counts
        self._possible = possible

    def best(self) -> Reallocation | None:
        """Return the best reallocation; ``None`` if none is worth its cost."""
        models = self._view.engine.models
        wanting = max(models, key=self._busy, default=None)
        if wanting is None or not self._view.settled:
            return None
        busy = self._busy(wanting)
        if busy < _BUSY:
            return None
        after, reallocation = min(
            self._rated(wanting),
            key=lambda rating: (rating[0], len(rating[1].ending)),
            default=(math.inf, None),
        )
        return reallocation if after < _GAIN * busy else None

    def _rated(
        self, wanting: ModelProfile
    ) -> Iterator[tuple[float, Reallocation]]:
        """Yield reallocations, and how busy the busier model is after each."""
        for giving in self._view.engine.models:
            if giving is wanting:
                continue
            for reallocation in self._possible.between(wanting, giving):
                left = self._busy(giving, -len(reallocation.ending))
                if left < _FULL:
                    gained = self._busy(wanting, reallocation.gained)
                    yield max(left, gained), reallocation

    def _busy(self, model: ModelProfile, more: int = 0) -> float:
        """Return the part of its groups that a model's requests fill."""
        groups = self._counts.get(model.name, 0) + more
        demand = self._view.demand.get(model.name, 0)
        if groups > 0:
            return demand / groups
        return math.inf if demand else 0
