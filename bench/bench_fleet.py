"""Groups of two models while runners are lost: the decision and the former."""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterator

from _figures import Figure
from _loss_measures import Measure, measures
from _two_models import DEMAND, ENGINE
from _wave_cases import WAVE_CASES, WAVE_ENGINE
from attrs import evolve

from cowslipstep.fleet import EngineProfile, Epochs, FleetPlanner
from cowslipstep.fleet.replay import (
    FormerReallocations,
    LossCase,
    LossFigures,
    replay_losses,
)

_SERVICE = 'drafting'
_SEEDS = 6
# Least part of the division with the least waiting that each model has to get.
_MIN_PART = 0.8
_PART = operator.attrgetter('lowest_part')


def figures() -> Iterator[Figure]:
    """Yield means over several seeds, and those of the former decision."""
    yield from _compared('fleet', LossCase(DEMAND), ENGINE, _MIN_PART)
    for name, case in WAVE_CASES.items():
        yield from _compared(f'fleet.{name}', case, WAVE_ENGINE)


def _compared(
    name: str,
    case: LossCase,
    engine: EngineProfile,
    min_part: float | None = None,
) -> Iterator[Figure]:
    replays = _replays(
        case, engine, lambda epochs: FleetPlanner(_SERVICE, epochs)
    )
    former = _replays(
        case,
        engine,
        lambda epochs: FleetPlanner(
            _SERVICE, epochs, FormerReallocations().start
        ),
    )
    for measured, unit, measure in measures(case):
        yield Figure(
            f'{name}.{measured}',
            _mean(replays, measure),
            unit,
            baseline=_mean(former, measure),
        )
    yield Figure(
        f'{name}.lowest_part',
        _mean(replays, _PART),
        'share',
        min_part,
        _mean(former, _PART),
        at_least=True,
    )


def _replays(
    case: LossCase,
    engine: EngineProfile,
    new_planner: Callable[[Epochs], FleetPlanner],
) -> list[LossFigures]:
    return [
        replay_losses(evolve(case, seed=seed), engine, new_planner)
        for seed in range(_SEEDS)
    ]


def _mean(replays: list[LossFigures], measure: Measure) -> float:
    return sum(map(measure, replays)) / len(replays)
