"""Gauges that are read from the state of a daemon in groups."""

from __future__ import annotations

from cowslipstep.metrics import CounterKey, Gauges
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._evacuation_use import set_evacuation_gauges
from cowslipstep.serving._group_gauges import set_group_gauges
from cowslipstep.serving._load_spread_log import set_load_spread_gauges
from cowslipstep.serving._loop_pauses import LoopPauses
from cowslipstep.serving._state import ServingState


def set_serving_gauges(
    gauges: Gauges, state: ServingState, demand: DemandEstimator
) -> None:
    """Set the gauges of pauses, groups, loads and evacuations."""
    _set_loop_pauses(gauges, state.process.loop_pauses)
    set_group_gauges(gauges, state, demand)
    set_load_spread_gauges(gauges, state.load_samples)
    set_evacuation_gauges(gauges, state)


def _set_loop_pauses(gauges: Gauges, pauses: LoopPauses) -> None:
    for quantile, pause_s in pauses.quantiles_s().items():
        labels = (('quantile', str(quantile)),)
        gauges.set(CounterKey('loop_pause_s', labels), pause_s)
