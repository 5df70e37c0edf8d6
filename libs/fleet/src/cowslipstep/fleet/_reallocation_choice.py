"""Choice of the reallocation that relieves the busiest model most."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._possible_reallocations import (
    PossibleReallocations,
    Reallocation,
)

# Groups are reallocated only to a model whose utilization, the number of groups
# that its requests keep busy for each group it has, is at least this.
_MIN_UTILIZATION_TO_REALLOCATE = 0.6
# After a reallocation the higher utilization of the two models has to be less
# than this part of the recipient's utilization before.
_MAX_UTILIZATION_FACTOR_AFTER = 0.85
# A donor's utilization after the reallocation has to be less than this: groups
# that close serve no requests for seconds, which costs most where all groups
# are needed. Demand counts requests at their full length, so groups can carry a
# utilization above 1.
_MAX_DONOR_UTILIZATION = 1.3


class ReallocationChoice:
    """Finds the reallocation that relieves the busiest model most.

    Parameters
    ----------
    view
        State of the fleet.
    counts
        Number of groups of each model that serve or will soon be ready.
    possible
        Finds the possible reallocations between two models.
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
        """Return the best reallocation; ``None`` if none is worth its cost.

        None is chosen while many runners are registering.
        """
        models = self._view.engine.models
        recipient = max(models, key=self._utilization, default=None)
        if recipient is None or not self._view.registrations_settled:
            return None
        utilization = self._utilization(recipient)
        if utilization < _MIN_UTILIZATION_TO_REALLOCATE:
            return None
        utilization_after, reallocation = min(
            self._rated_reallocations(recipient),
            key=lambda rating: (rating[0], len(rating[1].ending_leaders)),
            default=(math.inf, None),
        )
        return (
            reallocation
            if utilization_after < _MAX_UTILIZATION_FACTOR_AFTER * utilization
            else None
        )

    def _rated_reallocations(
        self, recipient: ModelProfile
    ) -> Iterator[tuple[float, Reallocation]]:
        """Yield the higher utilization of both models after each reallocation.

        It comes in a pair with the reallocation.
        """
        for donor in self._view.engine.models:
            if donor is recipient:
                continue
            for reallocation in self._possible.between(recipient, donor):
                donor_utilization = self._utilization(
                    donor, -len(reallocation.ending_leaders)
                )
                if donor_utilization < _MAX_DONOR_UTILIZATION:
                    recipient_utilization = self._utilization(
                        recipient, reallocation.groups_gained
                    )
                    yield (
                        max(donor_utilization, recipient_utilization),
                        reallocation,
                    )

    def _utilization(self, model: ModelProfile, groups_added: int = 0) -> float:
        """Return the demand for a model per group, infinite without a group."""
        groups = self._counts.get(model.name, 0) + groups_added
        demand = self._view.demand.get(model.name, 0)
        if groups > 0:
            return demand / groups
        return math.inf if demand else 0
