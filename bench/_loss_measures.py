"""What is measured in replays in which runners are lost."""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterator

from cowslipstep.fleet import RunnerUse
from cowslipstep.fleet.replay import LossCase, LossFigures

Measure = Callable[[LossFigures], float]


def measures(case: LossCase) -> Iterator[tuple[str, str, Measure]]:
    """Yield the name, the unit and the measure of each figure."""
    for model in case.demand:
        yield f'served_share.{model}', 'share', _served_share(model)
        yield f'serving_groups.{model}', 'groups', _serving_groups(model)
    for use in RunnerUse:
        yield (
            f'runners.{use}',
            'runners',
            _runners(use),
        )
    for counted in ('closed', 'loads', 'lost', 'decided'):
        yield counted, 'count', operator.attrgetter(counted)


def _served_share(model: str) -> Measure:
    return lambda replay: replay.served_share[model]


def _serving_groups(model: str) -> Measure:
    return lambda replay: (
        sum(serving[model] for serving in replay.serving) / len(replay.serving)
    )


def _runners(use: RunnerUse) -> Measure:
    return lambda replay: replay.uses[use]
