"""Choice of the next group to form from free runners."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

from attrs import field, frozen

from cowslipstep.groups._fleet_decisions import FleetView
from cowslipstep.groups._load_pace import LoadPace
from cowslipstep.model import DiscoveredRunner, ServedModel

# Time to join a group of the model that the runner last served.
_REJOIN_S = 0.2
# Demand that is assumed at least, as a part of the published share.
_LEAST_DEMAND = 0.3
# While runners still register, a model with less than this part of the
# greatest pressure leaves them to the model that needs them more.
_FAIR_PRESSURE = 0.6


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
        Groups of each model; counted up with each choice.
    """

    def __init__(
        self,
        view: FleetView,
        pace: LoadPace,
        claimed: Collection[str],
        counts: dict[str, int],
    ) -> None:
        self._view = view
        self._pace = pace
        self._counts = dict(counts)
        self._free: dict[str, list[DiscoveredRunner]] = defaultdict(list)
        for runner in view.present:
            if runner.name not in claimed and not runner.draining:
                self._free[runner.fabric_domain].append(runner)

    def next_group(self) -> ChosenGroup | None:
        """Return the next group to form; ``None`` if there is none."""
        models = sorted(
            self._view.engine.models,
            key=self._pressure,
            reverse=True,
        )
        for model in self._fair(models):
            chosen = self._best(model)
            if chosen is not None:
                self._take(chosen)
                return chosen
        return None

    def _fair(self, models: list[ServedModel]) -> list[ServedModel]:
        if self._view.settled or not models:
            return models
        least = _FAIR_PRESSURE * self._pressure(models[0])
        return [model for model in models if self._pressure(model) >= least]

    def _pressure(self, model: ServedModel) -> float:
        """Return the groups that are wanted for each group there is."""
        wanted = max(
            self._view.demand.get(model.name, 0),
            _LEAST_DEMAND * self._expected(model),
        )
        # Half a group keeps the order of models that have none.
        return wanted / (self._counts.get(model.name, 0) + 0.5)

    def _expected(self, model: ServedModel) -> float:
        """Return the part of the demand that the published share means."""
        models = self._view.engine.models
        total = sum(self._view.demand.values()) or 1
        shares = {
            other.name: other.share / other.group_size for other in models
        }
        return total * shares[model.name] / (sum(shares.values()) or 1)

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
        self._counts[chosen.model.name] = (
            self._counts.get(chosen.model.name, 0) + 1
        )


def _must_load(runner: DiscoveredRunner, model: ServedModel) -> bool:
    return model.name not in (*runner.loaded, *runner.staged)


def _ready_s(runner: DiscoveredRunner, model: ServedModel) -> float:
    if model.name in runner.loaded:
        return _REJOIN_S
    if model.name in runner.staged:
        return model.warm_s
    return model.load_s
