"""Figures of a replay in which runners are lost while requests come."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from attrs import define, field, frozen

from cowslipstep.fleet._decisions import CloseGroup, StageModel
from cowslipstep.fleet._fleet_summary import RunnerUse, summarize_fleet
from cowslipstep.fleet.replay._fleet_replay import FleetReplay

# A model whose load is weighted by the root of its group size gets runners in
# proportion to its demand times this power of the size.
_RUNNERS_EXPONENT = 0.75


@frozen
class LossFigures:
    """Means over a replay, from the first request to its end.

    Parameters
    ----------
    serving
        Number of serving groups by model, at each step.
    served_share
        Share of the demand for each model that found a group.
    best_share
        Share of the demand for each model that would find a group if all
        runners whose hosts hold weights served, divided so that the load of
        ``ReallocationChoice`` is least.
    closed
        Number of groups that were commanded to close.
    loads
        Number of loads from the weight store.
    lost
        Number of runners that were lost.
    decided
        Number of decisions of all kinds.
    uses
        Mean number of runners by use.
    rule_violations
        Rules of the runners that commands violated.
    """

    serving: tuple[Counter[str], ...]
    served_share: dict[str, float]
    best_share: dict[str, float]
    closed: int
    loads: int
    lost: int
    decided: int
    uses: dict[RunnerUse, float]
    rule_violations: tuple[str, ...] = field(default=())

    @property
    def lowest_part(self) -> float:
        """Part of its best share that the model worst off got."""
        return min(
            served / self.best_share[model]
            for model, served in self.served_share.items()
        )


@define
class LossRecorder:
    """Records what serves at each step, and what could.

    Attributes
    ----------
    replay
        The replay.
    lost
        Number of runners that were lost.
    """

    replay: FleetReplay
    lost: int = 0
    _demands: list[Mapping[str, float]] = field(factory=list)
    _serving: list[Counter[str]] = field(factory=list)
    _runners: list[int] = field(factory=list)
    _uses: Counter[RunnerUse] = field(factory=Counter)

    def record_step(self) -> None:
        """Record the groups that serve now."""
        runners = self.replay.runners
        self._demands.append(self.replay.demand)
        self._uses.update(summarize_fleet(self.replay.view()).runners)
        self._serving.append(
            Counter(
                leader.loaded_models[0]
                for _, leader in runners.complete_groups()
            )
        )
        self._runners.append(
            sum(bool(runner.staged_models) for runner in runners.alive.values())
        )

    def figures(self) -> LossFigures:
        """Return the figures of the steps so far."""
        decisions = self.replay.decisions
        return LossFigures(
            tuple(self._serving),
            {model: self._served_share(model) for model in self.replay.demand},
            self._best_shares(),
            sum(isinstance(decision, CloseGroup) for decision in decisions),
            sum(isinstance(decision, StageModel) for decision in decisions),
            self.lost,
            len(decisions),
            {use: self._uses[use] / len(self._serving) for use in RunnerUse},
            tuple(self.replay.runners.rule_violations),
        )

    def _best_shares(self) -> dict[str, float]:
        runners = sum(self._runners) / len(self._runners)
        shares: Counter[str] = Counter()
        for demand in self._demands:
            shares.update(self._best_shares_of(demand, runners))
        return {model: shares[model] / len(self._demands) for model in shares}

    def _best_shares_of(
        self, demand: Mapping[str, float], runners: float
    ) -> dict[str, float]:
        models = self.replay.engine.models
        # Least where the groups of each model are proportional to its demand,
        # divided by the fourth root of their size.
        needed = sum(
            demand[model.name] * model.group_size**_RUNNERS_EXPONENT
            for model in models
        )
        factor = runners / needed
        return {
            model.name: min(
                1, factor * model.group_size ** (_RUNNERS_EXPONENT - 1)
            )
            for model in models
        }

    def _served_share(self, model: str) -> float:
        shares = (
            min(1, serving[model] / demand[model])
            for serving, demand in zip(
                self._serving, self._demands, strict=True
            )
        )
        return sum(shares) / len(self._serving)
