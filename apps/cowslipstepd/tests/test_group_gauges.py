"""Gauges of serving groups and of demand."""

from __future__ import annotations

import types
from typing import Any

import pytest
from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupIndex,
    GroupPosition,
    MemberState,
    ModelProfile,
    ServiceConfiguration,
)
from cowslipstep.metrics import Gauges
from cowslipstep.model import Address
from cowslipstep.serving._evacuations import EvacuationState
from cowslipstep.serving._group_gauges import set_group_gauges
from cowslipstep.serving._serving_group_cache import ServingGroupCache

SERVICE = 'engines'
ENGINE = engine_of(ModelProfile('small', 1), ModelProfile('large', 2))
LEADER = DiscoveredRunner(
    'r1',
    SERVICE,
    Address('127.0.0.1', 1),
    'north',
    9,
    loaded_models=('small',),
    group_position=GroupPosition('g1', 1, 0, MemberState.open),
)
INCOMPLETE = evolve(
    LEADER,
    name='r2',
    loaded_models=('large',),
    group_position=GroupPosition('g2', 2, 0, MemberState.open),
)
TABLE = types.SimpleNamespace(
    configuration=types.SimpleNamespace(
        services={SERVICE: ServiceConfiguration(SERVICE, ENGINE)}
    )
)


@pytest.fixture(name='gauge_lines')
def gauge_lines_fixture() -> set[str]:
    """Return the gauges of a fleet of two groups, one of them incomplete."""
    groups = GroupIndex()
    groups.put(LEADER)
    groups.put(INCOMPLETE)
    state: Any = types.SimpleNamespace(
        configuration=types.SimpleNamespace(table=TABLE),
        serving_groups=ServingGroupCache(),
        runner_table=types.SimpleNamespace(groups=groups),
        evacuations=EvacuationState(is_enabled=False),
    )
    demand: Any = types.SimpleNamespace(total=lambda _: {'large': 1.5})
    gauges = Gauges()
    set_group_gauges(gauges, state, demand)
    return set(gauges.render())


@pytest.mark.parametrize(
    ('name', 'model', 'groups'),
    [
        ('groups_serving', 'small', 1),
        ('groups_serving', 'large', 0),
        ('groups_demanded', 'large', 1.5),
    ],
)
def test_groups_by_model(gauge_lines, name, model, groups) -> None:
    labels = f'model="{model}",service="{SERVICE}"'
    assert f'cowslipstep_{name}{{{labels}}} {groups}' in gauge_lines
