"""Choice of the next group to form from free runners."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping

from attrs import field, frozen

from cowslipstep.fleet._decisions import FleetView
from cowslipstep.fleet._engines import ServedModel
from cowslipstep.fleet._load_pace import LoadPace
from cowslipstep.fleet._pressure import ModelPressure
from cowslipstep.fleet._runners import DiscoveredRunner

# Time to join a group of the model that the runner last served.
_REJOIN_S = 0.2


@frozen
class ChosenGroup:
    """Runners for a group, and those that load its weights.

    ``ready_s`` is the time until the last of them is ready.
    """

    model: ServedModel
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
        self._free: dict[str, list[DiscoveredRunner]] = defaultdict(list)
        for runner in view.present:
            if runner.name not in claimed and not runner.draining:
                self._free[runner.fabric_domain].append(runner)

    def next_group(self) -> ChosenGroup | None:
        """Return the next group to form; ``None`` if there is none."""
        for model in self._pressure.models():
            chosen = self._best(model)
            if chosen is not None:
                self._take(chosen)
                return chosen
        return None

    def _best(self, model: ServedModel) -> ChosenGroup | None:
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
        model: ServedModel,
        runners: list[DiscoveredRunner],
    ) -> ChosenGroup:
        ordered = sorted(runners, key=lambda runner: _ready_s(runner, model))
        members = tuple(ordered[: model.group_size])
        return ChosenGroup(
            model,
            members,
            tuple(runner for runner in members if _must_load(runner, model)),
            max(_ready_s(runner, model) for runner in members),
        )

    def _take(self, chosen: ChosenGroup) -> None:
        names = {runner.name for runner in chosen.members}
        domain = chosen.members[0].fabric_domain
        self._free[domain] = [
            runner for runner in self._free[domain] if runner.name not in names
        ]
        self._pressure.count(chosen.model)


def _must_load(runner: DiscoveredRunner, model: ServedModel) -> bool:
    return model.name not in (*runner.loaded, *runner.staged)


def _ready_s(runner: DiscoveredRunner, model: ServedModel) -> float:
    if model.name in runner.loaded:
        return _REJOIN_S
    if model.name in runner.staged:
        return model.warm_s
    return model.load_s
