"""The former decision on reallocations, as a baseline of replays."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping

from attrs import define

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._possible_reallocations import (
    PossibleReallocations,
    Reallocation,
    ReportedGroups,
)
from cowslipstep.fleet._running_reallocations import RunningReallocations

_MIN_UTILIZATION = 0.6
_MAX_FACTOR_AFTER = 0.85
_MAX_DONOR_UTILIZATION = 1.3
_PAUSE_S = 3


@define
class FormerReallocations:
    """One at a time, with a pause, if it relieves the busiest model enough.

    The higher utilization of both models afterwards had to be less than a part
    of the recipient's before.
    """

    _next_at_s: float = 0

    def start(
        self,
        running: RunningReallocations,
        view: FleetView,
        reported: ReportedGroups,
        claimed: Collection[str],
        counts: Mapping[str, int],
    ) -> None:
        """Start a reallocation if none runs."""
        if running.claimed:
            self._next_at_s = view.now_s + _PAUSE_S
            return
        if view.now_s < self._next_at_s:
            return
        possible = PossibleReallocations(view, reported, claimed)
        chosen = _best(view, counts, possible)
        if chosen is not None and view.registrations_settled:
            running.put(chosen)


def _best(
    view: FleetView,
    counts: Mapping[str, int],
    possible: PossibleReallocations,
) -> Reallocation | None:
    recipient = max(
        view.engine.models, key=lambda one: _utilization(view, counts, one)
    )
    before = _utilization(view, counts, recipient)
    after, chosen = min(
        _rated(view, counts, recipient, possible),
        key=lambda rating: (rating[0], len(rating[1].ending_leaders)),
        default=(math.inf, None),
    )
    if before < _MIN_UTILIZATION or after >= _MAX_FACTOR_AFTER * before:
        return None
    return chosen


def _rated(
    view: FleetView,
    counts: Mapping[str, int],
    recipient: ModelProfile,
    possible: PossibleReallocations,
) -> Iterator[tuple[float, Reallocation]]:
    for donor in view.engine.models:
        if donor is recipient:
            continue
        for chosen in possible.between(recipient, donor):
            ending = len(chosen.ending_leaders)
            donor_after = _utilization(view, counts, donor, -ending)
            after = _utilization(view, counts, recipient, chosen.groups_gained)
            if donor_after < _MAX_DONOR_UTILIZATION:
                yield max(donor_after, after), chosen


def _utilization(
    view: FleetView,
    counts: Mapping[str, int],
    model: ModelProfile,
    added: int = 0,
) -> float:
    groups = counts.get(model.name, 0) + added
    demand = view.demand.get(model.name, 0)
    if groups > 0:
        return demand / groups
    return math.inf if demand else 0
