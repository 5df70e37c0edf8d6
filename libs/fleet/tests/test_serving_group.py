"""Groups that serve although the entry of their leader has lapsed."""

from __future__ import annotations

from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupPosition,
    MemberState,
    ModelProfile,
    ReportedGroup,
    serving_group,
)
from cowslipstep.model import Address

ENGINE = engine_of(ModelProfile('pair', group_size=2))
MEMBER = DiscoveredRunner(
    'member',
    'drafting',
    Address('127.0.0.1', 1),
    'north',
    9,
    loaded_models=('pair',),
    group_position=GroupPosition('g', 1, 1, MemberState.ready),
)
LEADER = evolve(
    MEMBER,
    name='leader',
    group_position=GroupPosition('g', 1, 0, MemberState.open),
)
CLOSED = evolve(
    LEADER, group_position=GroupPosition('g', 1, 0, MemberState.closing)
)


def is_serving(**unregistered: DiscoveredRunner) -> bool:
    """Return whether a group serves of which one member has an entry."""
    reported = ReportedGroup(MEMBER.group_id, {1: MEMBER})
    by_rank = dict(enumerate(unregistered.values()))
    return serving_group(reported, ENGINE, by_rank) is not None


def test_leader_that_answers_without_entry_serves() -> None:
    assert is_serving(leader=LEADER)


def test_group_without_its_leader_does_not_serve() -> None:
    assert not is_serving()


def test_leader_that_was_to_leave_does_not_serve() -> None:
    assert not is_serving(leader=evolve(LEADER, draining=True))
    assert not is_serving(leader=CLOSED)
