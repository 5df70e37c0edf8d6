"""What the controller takes for lost in a partial partition."""

from __future__ import annotations

import types
from typing import Any

from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import DiscoveredRunner, Evacuations, ModelProfile
from cowslipstep.model import Address
from cowslipstep.serving._evacuations import EvacuationState
from cowslipstep.serving._fleet_views import FleetViews

ENGINE = engine_of(ModelProfile('pair', group_size=2))


def view_of(evacuations: EvacuationState, *runners: DiscoveredRunner) -> Any:
    state: Any = types.SimpleNamespace(
        runner_table=types.SimpleNamespace(
            runners={runner.name: runner for runner in runners}
        ),
        settings=types.SimpleNamespace(first_start=False),
        evacuations=evacuations,
    )
    demand: Any = types.SimpleNamespace(total=lambda _: {})
    reachability: Any = types.SimpleNamespace(
        unreachable=frozenset(('cut', 'dead')),
        known_members={},
        reachable_unregistered=lambda: frozenset(('cut',)),
    )
    views = FleetViews(state, demand, reachability)
    return views.view('drafting', ENGINE, frozenset())


def test_member_reached_by_another_is_not_lost() -> None:
    view = view_of(EvacuationState(is_enabled=False))
    assert view.lost_runners == {'dead'}
    assert view.reachable_unregistered == {'cut'}


def test_evacuated_runners_count_as_draining() -> None:
    """The controller would form groups of them."""
    evacuations = EvacuationState(is_enabled=True)
    evacuations.learn(Evacuations(1, frozenset(('south',))), 'd1')
    address = Address('127.0.0.1', 1)
    north = DiscoveredRunner('r0', 'drafting', address, 'north', 1)
    south = DiscoveredRunner('r1', 'drafting', address, 'south', 1)
    view = view_of(evacuations, north, south)
    assert view.runners == {'r0': north, 'r1': evolve(south, draining=True)}
    assert view.evacuated == {'r1'}
