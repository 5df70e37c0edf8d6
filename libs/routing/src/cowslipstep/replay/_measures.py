"""Figures that traces state outcomes for."""

from __future__ import annotations

import functools
from collections.abc import Callable, Mapping
from types import MappingProxyType

from cowslipstep.replay._load_figures import goodput_kept, recovery_s
from cowslipstep.replay._rank_figures import (
    floor_kept,
    normal_kept,
    small_p95_wait_ratio,
    tokens_jain_index,
    urgent_in_time,
    urgent_p95_wait_s,
)
from cowslipstep.replay._run import Replay, Run
from cowslipstep.replay._spec import TraceSpec

_MEASURES: Mapping[str, Callable[[Run], float]] = MappingProxyType(
    {
        'urgent_p95_wait_s': urgent_p95_wait_s,
        'urgent_in_time': urgent_in_time,
        'normal_kept': normal_kept,
        'normal_floor_kept': functools.partial(floor_kept, rank='normal'),
        'background_floor_kept': functools.partial(
            floor_kept,
            rank='background',
        ),
        'small_p95_wait_ratio': small_p95_wait_ratio,
        'jain_index': tokens_jain_index,
        'goodput_kept': goodput_kept,
        'recovery_s': recovery_s,
    },
)
_LOWER_IS_BETTER = frozenset(
    ('urgent_p95_wait_s', 'small_p95_wait_ratio', 'recovery_s'),
)


def measure_all(spec: TraceSpec, replay: Replay) -> dict[str, float]:
    """Replay a trace and return each figure that an outcome is stated for."""
    run = Run(spec, replay(spec), replay)
    return {name: _MEASURES[name](run) for name in spec.outcomes}


def lower_is_better(name: str) -> bool:
    """Return whether the stated outcome of a figure is its largest value."""
    return name in _LOWER_IS_BETTER


def reaches(name: str, figure: float, stated: float) -> bool:
    """Return whether a figure reaches its stated outcome.

    Examples
    --------
    >>> reaches('jain_index', 0.9, 0.95)
    False
    """
    if lower_is_better(name):
        return figure <= stated
    return figure >= stated
