"""Choice of the next group to form from free runners."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from attrs import field, frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ModelProfile
from cowslipstep.fleet._free_runners import (
    free_by_domain,
    must_load,
    ready_s,
)
from cowslipstep.fleet._load_pace import LoadPace
from cowslipstep.fleet._pressure import ModelPressure
from cowslipstep.fleet._runners import DiscoveredRunner


@frozen
class ChosenGroup:
    """Runners for a group, and those that load its weights.

    ``ready_s`` is the time until the last of them is ready.
    """

    model: ModelProfile
    members: tuple[DiscoveredRunner, ...]
    loading: tuple[DiscoveredRunner, ...]
    ready_s: float = field(default=0)


class GroupChoice:
    """Chooses groups one after the other.

    The model whose groups have the most demand for their number goes
    first; its members come from the fabric domain where it is ready first.

    Parameters
    ----------
    view
        The fleet.
    pace
        Pace of loads.
    claimed
        Names of runners that are not free.
    counts
        Groups of each model.
    """

    def __init__(
        self,
        view: FleetView,
        pace: LoadPace,
        claimed: Collection[str],
        counts: Mapping[str, int],
    ) -> None:
        self._view = view
        self._pace = pace
        self._pressure = ModelPressure(view, counts)
        self._free = free_by_domain(view, claimed)

    def next_group(self) -> ChosenGroup | None:
        """Return the next group to form; ``None`` if there is none."""
        for model in self._pressure.models():
            chosen = self._best(model)
            if chosen is not None:
                self._take(chosen)
                return chosen
        return None

    def _best(self, model: ModelProfile) -> ChosenGroup | None:
        candidates = [
            self._choose(model, runners)
            for runners in self._free.values()
            if len(runners) >= model.group_size
        ]
        admitted = [
            chosen
            for chosen in candidates
            if self._pace.admits(self._view, len(chosen.loading))
        ]
        return min(admitted, key=lambda chosen: chosen.ready_s, default=None)

    def _choose(
        self,
        model: ModelProfile,
        runners: list[DiscoveredRunner],
    ) -> ChosenGroup:
        ordered = sorted(runners, key=lambda runner: ready_s(runner, model))
        members = tuple(ordered[: model.group_size])
        return ChosenGroup(
            model,
            members,
            tuple(runner for runner in members if must_load(runner, model)),
            max(ready_s(runner, model) for runner in members),
        )

    def _take(self, chosen: ChosenGroup) -> None:
        names = {runner.name for runner in chosen.members}
        domain = chosen.members[0].fabric_domain
        self._free[domain] = [
            runner for runner in self._free[domain] if runner.name not in names
        ]
        self._pressure.count(chosen.model)
