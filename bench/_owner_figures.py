"""Floods in which each cell has two dispatchers at once for a while."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

from _figures import Figure

from cowslipstep.replay import (
    OwnerCost,
    OwnerTransition,
    ReplayedTrace,
    TraceSpec,
    measure_owner_cost,
    read_spec,
    replay,
)

_TRACES = pathlib.Path(__file__).parents[1] / 'traces'
_START_S = 45
_LENGTHS_S = (0, 1, 5, 20)
_LONGEST_USUAL_S = 1
_MAX_WAIT_S = 1
_MIN_IN_TIME = 0.99
_MIN_GOODPUT = 0.95
_NEVER = 1000000


def owner_figures() -> Iterator[Figure]:
    """Yield figures by how long there are two; beside them one owner."""
    for path in sorted(_TRACES.glob('*background-flood.json')):
        spec = read_spec(path)
        single = _measure(spec, None)
        for length_s in _LENGTHS_S:
            cost = _measure(
                spec, OwnerTransition(_START_S, _START_S + length_s)
            )
            yield from _figures(
                f'{length_s}_s.{path.stem}',
                cost,
                single,
                usual=length_s <= _LONGEST_USUAL_S,
            )


def _measure(spec: TraceSpec, transition: OwnerTransition | None) -> OwnerCost:
    return measure_owner_cost(
        ReplayedTrace(spec, replay(spec, transition=transition), replay)
    )


def _figures(
    name: str,
    cost: OwnerCost,
    single: OwnerCost,
    *,
    usual: bool,
) -> Iterator[Figure]:
    """Only the times that daemons usually need to agree have bounds."""
    name = f'dispatch.two_owners.{name}'
    yield Figure(
        f'{name}.urgent_p95_s',
        min(cost.urgent_p95_s, _NEVER),
        's',
        _MAX_WAIT_S if usual else None,
        single.urgent_p95_s,
    )
    yield Figure(
        f'{name}.urgent_in_time',
        cost.urgent_in_time,
        'ratio',
        _MIN_IN_TIME if usual else None,
        single.urgent_in_time,
        at_least=True,
    )
    yield Figure(
        f'{name}.goodput',
        cost.goodput / single.goodput,
        'ratio',
        _MIN_GOODPUT if usual else None,
        at_least=True,
    )
    over_admitted = cost.over_admitted
    yield Figure(f'{name}.over_admitted', over_admitted, 'ratio')
