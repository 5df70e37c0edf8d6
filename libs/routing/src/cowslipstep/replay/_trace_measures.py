"""Figures for which traces state bounds."""

from __future__ import annotations

import functools
from collections.abc import Callable, Mapping
from types import MappingProxyType

from cowslipstep.replay._load_figures import goodput_ratio, recovery_s
from cowslipstep.replay._rank_figures import (
    normal_in_time_ratio,
    share_to_floor_ratio,
    small_p95_wait_ratio,
    tokens_jain_index,
    urgent_in_time,
    urgent_p95_wait_s,
)
from cowslipstep.replay._replayed_trace import ReplayFunction, ReplayedTrace
from cowslipstep.replay._spec import TraceSpec

_MEASURES: Mapping[str, Callable[[ReplayedTrace], float]] = MappingProxyType(
    {
        'urgent_p95_wait_s': urgent_p95_wait_s,
        'urgent_in_time': urgent_in_time,
        'normal_kept': normal_in_time_ratio,
        'normal_floor_kept': functools.partial(
            share_to_floor_ratio, rank='normal'
        ),
        'background_floor_kept': functools.partial(
            share_to_floor_ratio,
            rank='background',
        ),
        'small_p95_wait_ratio': small_p95_wait_ratio,
        'jain_index': tokens_jain_index,
        'goodput_kept': goodput_ratio,
        'recovery_s': recovery_s,
    },
)
_LOWER_IS_BETTER = frozenset(
    ('urgent_p95_wait_s', 'small_p95_wait_ratio', 'recovery_s'),
)


def measure_all(spec: TraceSpec, replay: ReplayFunction) -> dict[str, float]:
    """Replay a trace and return each figure that has a stated bound."""
    run = ReplayedTrace(spec, replay(spec), replay)
    return {name: _MEASURES[name](run) for name in spec.outcomes}


def lower_is_better(name: str) -> bool:
    """Return whether the stated bound of a figure is an upper bound."""
    return name in _LOWER_IS_BETTER


def meets_bound(name: str, figure: float, bound: float) -> bool:
    """Return whether a figure meets its stated bound.

    Examples
    --------
    >>> meets_bound('jain_index', 0.9, 0.95)
    False
    """
    if lower_is_better(name):
        return figure <= bound
    return figure >= bound
