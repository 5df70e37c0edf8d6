"""Figures of a replay in which runners are lost while requests come."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from attrs import define, field, frozen

from cowslipstep.fleet._decisions import CloseGroup, StageModel
from cowslipstep.fleet.replay._fleet_replay import FleetReplay


@frozen
class LossFigures:
    """Means over a replay, from the first request to its end.

    Parameters
    ----------
    serving
        Number of serving groups by model, at each step.
    served_share
        Share of the demand for each model that found a group.
    even_share
        Share that the demand for all models would find if all runners whose
        hosts hold weights served, divided in proportion to demand.
    closed
        Number of groups that were commanded to close.
    loads
        Number of loads from the weight store.
    lost
        Number of runners that were lost.
    rule_violations
        Rules of the runners that commands violated.
    """

    serving: tuple[Counter[str], ...]
    served_share: dict[str, float]
    even_share: float
    closed: int
    loads: int
    lost: int
    rule_violations: tuple[str, ...] = field(default=())

    @property
    def lowest_share(self) -> float:
        """Share of the demand for the model worst off that found a group."""
        return min(self.served_share.values())


@define
class LossRecorder:
    """Records what serves at each step, and what could.

    Attributes
    ----------
    replay
        The replay.
    demand
        Number of groups that the requests keep busy, by model.
    lost
        Number of runners that were lost.
    """

    replay: FleetReplay
    demand: Mapping[str, float]
    lost: int = 0
    _serving: list[Counter[str]] = field(factory=list)
    _even_shares: list[float] = field(factory=list)

    def record_step(self) -> None:
        """Record the groups that serve now."""
        runners = self.replay.runners
        self._serving.append(
            Counter(
                leader.loaded_models[0]
                for _, leader in runners.complete_groups()
            )
        )
        with_weights = sum(
            bool(runner.staged_models) for runner in runners.alive.values()
        )
        demanded = sum(
            model.group_size * self.demand[model.name]
            for model in self.replay.engine.models
        )
        self._even_shares.append(min(1, with_weights / demanded))

    def figures(self) -> LossFigures:
        """Return the figures of the steps so far."""
        decisions = self.replay.decisions
        return LossFigures(
            tuple(self._serving),
            {model: self._served_share(model) for model in self.demand},
            sum(self._even_shares) / len(self._even_shares),
            sum(isinstance(decision, CloseGroup) for decision in decisions),
            sum(isinstance(decision, StageModel) for decision in decisions),
            self.lost,
            tuple(self.replay.runners.rule_violations),
        )

    def _served_share(self, model: str) -> float:
        shares = (
            min(1, serving[model] / self.demand[model])
            for serving in self._serving
        )
        return sum(shares) / len(self._serving)
