"""Replays in which two dispatchers own each cell during the flood."""

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
_TRANSITION_AT_S = 45
_TRANSITION_DURATIONS_S = (0, 1, 5, 20)
_MAX_USUAL_DURATION_S = 1
_MAX_WAIT_S = 1
_MIN_IN_TIME_SHARE = 0.99
_MIN_GOODPUT_RATIO = 0.95
_INFINITE_WAIT_S = 1000000  # JSON has no infinity


def owner_transition_figures() -> Iterator[Figure]:
    """Yield figures by the time with two owners; the baseline has one."""
    for path in sorted(_TRACES.glob('*background-flood.json')):
        spec = read_spec(path)
        one_owner = _measure(spec, None)
        for duration_s in _TRANSITION_DURATIONS_S:
            cost = _measure(
                spec,
                OwnerTransition(
                    _TRANSITION_AT_S, _TRANSITION_AT_S + duration_s
                ),
            )
            yield from _figures(
                f'{duration_s}_s.{path.stem}',
                cost,
                one_owner,
                is_usual=duration_s <= _MAX_USUAL_DURATION_S,
            )


def _measure(spec: TraceSpec, transition: OwnerTransition | None) -> OwnerCost:
    return measure_owner_cost(
        ReplayedTrace(spec, replay(spec, transition=transition), replay)
    )


def _figures(
    name: str,
    cost: OwnerCost,
    one_owner: OwnerCost,
    *,
    is_usual: bool,
) -> Iterator[Figure]:
    """Yield the figures of one transition.

    Bounds apply only to the time that daemons usually need to agree on the
    owner.
    """
    name = f'dispatch.two_owners.{name}'
    yield Figure(
        f'{name}.urgent_p95_s',
        min(cost.urgent_p95_s, _INFINITE_WAIT_S),
        's',
        _MAX_WAIT_S if is_usual else None,
        one_owner.urgent_p95_s,
    )
    yield Figure(
        f'{name}.urgent_in_time',
        cost.urgent_in_time,
        'ratio',
        _MIN_IN_TIME_SHARE if is_usual else None,
        one_owner.urgent_in_time,
        at_least=True,
    )
    yield Figure(
        f'{name}.goodput',
        cost.goodput / one_owner.goodput,
        'ratio',
        _MIN_GOODPUT_RATIO if is_usual else None,
        at_least=True,
    )
    over_admitted = cost.over_admitted
    yield Figure(f'{name}.over_admitted', over_admitted, 'ratio')
