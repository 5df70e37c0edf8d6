"""Gauges of serving groups and of demand, by model."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping

from cowslipstep.fleet import EngineProfile
from cowslipstep.metrics import CounterKey, Gauges
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._evacuations import groups_outside
from cowslipstep.serving._state import ServingState


def set_group_gauges(
    gauges: Gauges, state: ServingState, demand: DemandEstimator
) -> None:
    """Set the serving groups of each model, and those that requests need."""
    for service, engine in _engines(state):
        counts = {
            'groups_serving': _serving_groups(state, service, engine),
            'groups_demanded': demand.total(service),
        }
        for name, by_model in counts.items():
            _set_by_model(gauges, name, service, by_model)


def _set_by_model(
    gauges: Gauges, name: str, service: str, by_model: Mapping[str, float]
) -> None:
    for model, groups in by_model.items():
        labels = (('model', model), ('service', service))
        gauges.set(CounterKey(name, labels), groups)


def _engines(state: ServingState) -> Iterator[tuple[str, EngineProfile]]:
    table = state.configuration.table
    if table is None:
        return
    for service in table.configuration.services.values():
        if service.engine is not None:
            yield service.name, service.engine


def _serving_groups(
    state: ServingState, service: str, engine: EngineProfile
) -> dict[str, float]:
    """Count the serving groups of each model, also where there are none.

    Groups with a member in an evacuated failure domain get no requests.
    """
    groups = state.serving_groups.serving(
        service, engine, state.runner_table.groups.groups
    )
    outside = groups_outside(state.evacuations.current, groups)
    counts = Counter(group.model for group in outside)
    return {model.name: counts[model.name] for model in engine.models}
