"""What the controller takes for lost in a partial partition."""

from __future__ import annotations

import types
from typing import Any

from _engine_cases import engine_of

from cowslipstep.fleet import ModelProfile
from cowslipstep.serving._fleet_views import FleetViews

ENGINE = engine_of(ModelProfile('pair', group_size=2))


def test_member_reached_by_another_is_not_lost() -> None:
    state: Any = types.SimpleNamespace(
        runner_table=types.SimpleNamespace(runners={}),
        settings=types.SimpleNamespace(first_start=False),
    )
    demand: Any = types.SimpleNamespace(total=lambda _: {})
    reachability: Any = types.SimpleNamespace(
        unreachable=frozenset(('cut', 'dead')),
        known_members={},
        reachable_unregistered=lambda: frozenset(('cut',)),
    )
    views = FleetViews(state, demand, reachability)
    view = views.view('drafting', ENGINE, frozenset())
    assert view.lost_runners == {'dead'}
    assert view.reachable_unregistered == {'cut'}
