"""Age of the loads by which a daemon chooses, by its role in the reports."""

from __future__ import annotations

import types
from typing import Any

import pytest
from _engine_cases import engine_of

from cowslipstep.fleet import ModelProfile
from cowslipstep.routing import (
    Follower,
    MeshMember,
    ModelTimes,
    Relay,
    Role,
    UsualRequest,
)
from cowslipstep.serving._placement import group_placement

MODEL = ModelProfile('pair', group_size=2, time_factor=0.5)
TIMES = ModelTimes(engine_of(MODEL), MODEL, UsualRequest(0, 100))
NOBODY = frozenset[str]()


def placement(role: Role, ages_s: tuple[float, ...]) -> Any:
    """Return the choice of a daemon with reports of these ages."""
    state: Any = types.SimpleNamespace(
        loads=types.SimpleNamespace(report_ages_s=ages_s),
        relay_role=types.SimpleNamespace(current=role),
        fleet_place=None,
    )
    return group_placement(state, (), TIMES)


# A report through relays was counted as fresh when it arrived.
@pytest.mark.parametrize(
    ('role', 'age_s'),
    [
        (MeshMember(NOBODY), 0.1),
        (Relay(NOBODY), 0.2),
        (Follower(NOBODY), 0.3),
    ],
)
def test_reports_through_relays_are_older(role: Role, age_s: float) -> None:
    age = placement(role, (0.05, 0.15)).age
    assert age.report_age_s == pytest.approx(age_s)


def test_a_request_is_held_for_its_steps() -> None:
    step_s = TIMES.step_s(TIMES.engine.slots)
    held_s = placement(MeshMember(NOBODY), ()).age.held_s
    assert held_s == pytest.approx(MODEL.time_factor * 100 * step_s)
