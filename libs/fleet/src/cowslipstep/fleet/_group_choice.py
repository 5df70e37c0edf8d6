"""Choice of the next group to form from free runners."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from attrs import field, frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._free_runners import (
    free_by_domain,
    must_load,
    time_to_ready_s,
)
from cowslipstep.fleet._model_priorities import ModelPriorities
from cowslipstep.fleet._runners import DiscoveredRunner
from cowslipstep.fleet._weight_load_limiter import WeightLoadLimiter


@frozen
class ChosenGroup:
    """Runners chosen for a new group of a model.

    ``loading`` are the members that need the weights from the weight store;
    ``time_to_ready_s`` is the time until the last member is ready.
    """

    model: ModelProfile
    members: tuple[DiscoveredRunner, ...]
    loading: tuple[DiscoveredRunner, ...]
    time_to_ready_s: float = field(default=0)


class GroupChoice:
    """Chooses groups to form from free runners, one at a time.

    The model with the highest demand per group comes first. Its members are
    taken from the fabric domain where the group is ready soonest.

    Parameters
    ----------
    view
        State of the fleet.
    load_limiter
        Limits loads from the weight store.
    claimed
        Names of runners that are not free.
    counts
        Number of groups of each model.
    """

    def __init__(
        self,
        view: FleetView,
        load_limiter: WeightLoadLimiter,
        claimed: Collection[str],
        counts: Mapping[str, int],
    ) -> None:
        self._view = view
        self._load_limiter = load_limiter
        self._priorities = ModelPriorities(view, counts)
        self._free = free_by_domain(view, claimed)

    def next_group(self) -> ChosenGroup | None:
        """Return the next group and claim its runners; ``None`` if none."""
        for model in self._priorities.models():
            chosen = self._best_candidate(model)
            if chosen is not None:
                self._claim(chosen)
                return chosen
        return None

    def _best_candidate(self, model: ModelProfile) -> ChosenGroup | None:
        candidates = [
            _candidate(model, runners)
            for runners in self._alike_runners(model)
            if len(runners) >= model.group_size
        ]
        admitted = [
            chosen
            for chosen in candidates
            if self._load_limiter.admits(self._view, len(chosen.loading))
        ]
        return min(
            admitted, key=lambda chosen: chosen.time_to_ready_s, default=None
        )

    def _alike_runners(
        self, model: ModelProfile
    ) -> Iterator[list[DiscoveredRunner]]:
        """Yield free runners of one domain that may form a group together.

        Once loads take their full time, runners that hold the weights do not
        wait for ones that have to load them.
        """
        for runners in self._free.values():
            if not self._view.load_limits_apply:
                yield runners
                continue
            for loading in (False, True):
                yield [
                    runner
                    for runner in runners
                    if must_load(runner, model) is loading
                ]

    def _claim(self, chosen: ChosenGroup) -> None:
        names = {runner.name for runner in chosen.members}
        domain = chosen.members[0].fabric_domain
        self._free[domain] = [
            runner for runner in self._free[domain] if runner.name not in names
        ]
        self._priorities.add_group(chosen.model)


def _candidate(
    model: ModelProfile, runners: list[DiscoveredRunner]
) -> ChosenGroup:
    ordered = sorted(runners, key=lambda runner: time_to_ready_s(runner, model))
    members = tuple(ordered[: model.group_size])
    return ChosenGroup(
        model,
        members,
        tuple(runner for runner in members if must_load(runner, model)),
        max(time_to_ready_s(runner, model) for runner in members),
    )
