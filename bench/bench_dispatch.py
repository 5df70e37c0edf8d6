"""Dispatching: waits, shares and goodput in replays, and operation costs.

Each figure of a trace has two baselines: a dispatcher that grants slots in
order of arrival, and daemons that choose the less loaded of two groups.
"""

from __future__ import annotations

import functools
import pathlib
from collections.abc import Iterator

from _prefix_cache_figures import prefix_cache_figures
from _dispatch_costs import cost_figures
from _figures import Figure
from _limit_figures import limit_figures
from _owner_transition_figures import owner_transition_figures

from cowslipstep.replay import (
    DispatchPolicy,
    TraceSpec,
    lower_is_better,
    measure_all,
    read_spec,
    replay,
)

_TRACES = pathlib.Path(__file__).parents[1] / 'traces'
_INFINITE_WAIT_S = 1000000  # JSON has no infinity


def figures() -> Iterator[Figure]:
    """Yield figures of traces, limits, owners, prefixes and operations."""
    for path in sorted(_TRACES.glob('*.json')):
        yield from _trace_figures(path.stem, read_spec(path))
    yield from limit_figures()
    yield from owner_transition_figures()
    yield from prefix_cache_figures()
    yield from cost_figures()


def _trace_figures(trace: str, spec: TraceSpec) -> Iterator[Figure]:
    own = _measure(spec, DispatchPolicy.dispatcher)
    for policy in (DispatchPolicy.fifo, DispatchPolicy.choice_of_two):
        for name, baseline in _measure(spec, policy).items():
            yield Figure(
                f'dispatch.{trace}.{name}.beside_{policy.value}',
                own[name],
                's' if name.endswith('_s') else 'ratio',
                bound=spec.outcomes[name],
                baseline=min(baseline, _INFINITE_WAIT_S),
                at_least=not lower_is_better(name),
            )


def _measure(spec: TraceSpec, policy: DispatchPolicy) -> dict[str, float]:
    return measure_all(spec, functools.partial(replay, policy=policy))
