"""Choice of the reallocation that shortens the waiting of requests most."""

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
# A donor's utilization after the reallocation has to be less than this: groups
# that close serve no requests for seconds, which costs most where all groups
# are needed. Demand counts requests at their full length, so groups can carry a
# utilization above 1: at 1.6, leaders ran 5 to 6.5 requests on 10 slots.
_MAX_DONOR_UTILIZATION = 1.6
# The same for a reallocation that ends one group only: it completes a group
# that lost few members, and costs the donor little.
_MAX_DONOR_UTILIZATION_TO_COMPLETE = 2
# Time in which neither the groups that end nor the new one serve requests.
_CHANGE_S = 3.5
# A reallocation has to make up for that time within this one: groups lose
# members and demand changes.
_HORIZON_S = 10
# Stands for no group at all, so that the load of a group stays finite.
_FEWEST_GROUPS = 0.5


class ReallocationChoice:
    """Finds the reallocation that is worth most.

    Explanation
    -----------
    The load of a model is its demand multiplied by its utilization: the
    longer requests wait, the more of them wait. It is weighted by the root of
    the group size, between counting the requests that wait, where a model of
    large groups would get next to none, and the runners that they wait for,
    where all models would have the same utilization and many requests for
    small groups would wait for few for large ones. A reallocation is worth
    what it lowers the load within the horizon, less what the load is higher
    while groups end. What free runners could serve instead at once is part of
    the price.

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
        if self._utilization(recipient) < _MIN_UTILIZATION_TO_REALLOCATE:
            return None
        worth, reallocation = max(
            self._rated_reallocations(recipient),
            key=lambda rating: (rating[0], -len(rating[1].ending_leaders)),
            default=(0, None),
        )
        return reallocation if worth > 0 else None

    def _rated_reallocations(
        self, recipient: ModelProfile
    ) -> Iterator[tuple[float, Reallocation]]:
        """Yield what each reallocation is worth, and the reallocation.

        None leaves the donor busier than the recipient was.
        """
        for donor in self._view.engine.models:
            if donor is recipient:
                continue
            for reallocation in self._possible.between(recipient, donor):
                if self._can_spare(donor, reallocation):
                    yield self._worth(donor, reallocation), reallocation

    def _can_spare(
        self, donor: ModelProfile, reallocation: Reallocation
    ) -> bool:
        ending = len(reallocation.ending_leaders)
        limit = (
            _MAX_DONOR_UTILIZATION
            if reallocation.ends_several
            else _MAX_DONOR_UTILIZATION_TO_COMPLETE
        )
        # What the donor serves while groups close depends on the demand now.
        left_utilization = _per_group(
            self._view.demand.get(donor.name, 0),
            self._counts.get(donor.name, 0) - ending,
        )
        before = self._utilization(reallocation.model)
        return (
            left_utilization < limit
            and self._utilization(donor, -ending) < before
        )

    def _worth(self, donor: ModelProfile, reallocation: Reallocation) -> float:
        ending = len(reallocation.ending_leaders)
        recipient = reallocation.model
        unchanged = self._load(recipient) + self._load(
            donor, reallocation.forgone_groups
        )
        meanwhile = self._load(recipient) + self._load(donor, -ending)
        changed = self._load(
            recipient, reallocation.groups_gained
        ) + self._load(donor, reallocation.left_over_groups - ending)
        return _HORIZON_S * (unchanged - changed) - _CHANGE_S * (
            meanwhile - unchanged
        )

    def _load(self, model: ModelProfile, groups_added: int = 0) -> float:
        demand = self._view.peak_demand.get(model.name, 0)
        weight = math.sqrt(model.group_size)
        return weight * demand * self._utilization(model, groups_added)

    def _utilization(self, model: ModelProfile, groups_added: int = 0) -> float:
        """Return the highest demand for a model over a wave, per group."""
        return _per_group(
            self._view.peak_demand.get(model.name, 0),
            self._counts.get(model.name, 0) + groups_added,
        )


def _per_group(demand: float, groups: int) -> float:
    return demand / max(groups, _FEWEST_GROUPS)
