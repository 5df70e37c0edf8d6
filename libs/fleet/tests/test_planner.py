"""Decisions of the planner of a fleet."""

from __future__ import annotations

from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import (
    CloseGroup,
    DiscoveredRunner,
    FleetPlanner,
    FleetView,
    FormGroup,
    GroupPosition,
    LeaveGroup,
    MemberState,
    ModelProfile,
    OpenGroup,
    StageModel,
)
from cowslipstep.model import Address

PAIR = ModelProfile('pair', group_size=2, load_s=12, warm_s=1)
ENGINE = engine_of(PAIR)
KEY = ('g1', 1)
TERM = 7


def runner(
    number: int, group_position: GroupPosition | None = None
) -> DiscoveredRunner:
    return DiscoveredRunner(
        name=f'r{number}',
        service='drafting',
        address=Address('127.0.0.1', 1000 + number),
        failure_domain='north',
        slots=9,
        fabric_domain='north-1',
        loaded=('pair',) if group_position else (),
        group_position=group_position,
    )


def seated(number: int, rank: int, state: MemberState) -> DiscoveredRunner:
    return runner(number, GroupPosition(*KEY, rank, state))


def new_planner() -> FleetPlanner:
    return FleetPlanner(TERM)


def view_of(*runners: DiscoveredRunner, now_s: float = 0) -> FleetView:
    named = {member.name: member for member in runners}
    return FleetView(named, ENGINE, now_s)


def open_pair() -> tuple[DiscoveredRunner, DiscoveredRunner]:
    return seated(0, 0, MemberState.open), seated(1, 1, MemberState.ready)


def kinds(decisions: list) -> list[type]:
    return [type(decision) for decision in decisions]


def formed(decisions: list) -> list[FormGroup]:
    return [
        decision for decision in decisions if isinstance(decision, FormGroup)
    ]


def test_ordered_group_is_not_ordered_again() -> None:
    planner = new_planner()
    free = view_of(runner(0), runner(1))
    assert formed(planner.decide(free))
    assert not formed(planner.decide(evolve(free, now_s=2)))


def test_group_opens_when_all_are_ready() -> None:
    planner = new_planner()
    joining = seated(1, 1, MemberState.joining)
    ready = seated(0, 0, MemberState.ready)
    assert OpenGroup not in kinds(planner.decide(view_of(ready, joining)))
    whole = view_of(ready, seated(1, 1, MemberState.ready), now_s=1)
    assert OpenGroup in kinds(planner.decide(whole))


def test_leader_leaves_before_its_member_joins() -> None:
    planner = new_planner()
    leader, member = open_pair()
    planner.decide(view_of(leader, member, runner(2)))
    decisions = planner.decide(view_of(leader, runner(2), now_s=5))
    assert kinds(decisions) == [LeaveGroup]
    left = evolve(leader, group_position=None)
    assert formed(planner.decide(view_of(left, runner(2), now_s=6)))


def test_member_of_silent_leader_leaves_first() -> None:
    planner = new_planner()
    leader, member = open_pair()
    seen = view_of(member, runner(2), now_s=100)
    seen = evolve(seen, members={KEY: {0: leader, 1: member}})
    assert planner.decide(seen) == [LeaveGroup(KEY, member)]
    left = view_of(evolve(member, group_position=None), runner(2), now_s=101)
    assert formed(planner.decide(left))


def test_vanished_leader_finishes_then_leaves() -> None:
    planner = new_planner()
    leader, member = open_pair()
    seen = evolve(
        view_of(member, runner(2)),
        members={KEY: {0: leader, 1: member}},
        reachable_unregistered=frozenset((leader.name,)),
    )
    assert planner.decide(seen) == [CloseGroup(KEY, leader)]
    late = evolve(seen, now_s=5)
    assert planner.decide(late) == [LeaveGroup(KEY, leader)]


def test_group_of_vanished_member_serves_on() -> None:
    planner = new_planner()
    leader, member = open_pair()
    seen = evolve(
        view_of(leader),
        members={KEY: {0: leader, 1: member}},
        reachable_unregistered=frozenset((member.name,)),
    )
    assert not planner.decide(seen)


def test_numbers_pass_all_that_are_reported() -> None:
    planner = FleetPlanner(0)
    other = runner(5, GroupPosition('g99', 99, 1, MemberState.ready))
    planner.decide(view_of(other))
    pairs = view_of(runner(0), runner(1), other, now_s=9)
    commands = formed(planner.decide(pairs))
    assert [command.key[1] for command in commands] == [100]


def test_commands_are_repeated_at_intervals() -> None:
    planner = new_planner()
    ready = (
        seated(0, 0, MemberState.ready),
        seated(1, 1, MemberState.ready),
    )
    seen = view_of(*ready)
    decisions = [
        kinds(planner.decide(evolve(seen, now_s=step / 10)))
        for step in range(21)
    ]
    assert decisions.count([OpenGroup]) == 3


def open_groups(count: int) -> dict[str, DiscoveredRunner]:
    named = {}
    for pair in range(count):
        leader = GroupPosition(f'g{pair}', pair, 0, MemberState.open)
        for rank in range(2):
            member = runner(2 * pair + rank, evolve(leader, rank=rank))
            named[member.name] = member
    return named


def test_hosts_load_a_second_model_in_pace() -> None:
    other = ModelProfile('other', group_size=2, load_s=10)
    engine = evolve(ENGINE, models=(PAIR, other))
    view = FleetView(open_groups(10), engine, 0)
    decisions = kinds(new_planner().decide(view))
    assert set(decisions) == {StageModel}
    assert len(decisions) == engine.loads_at_once


def test_no_runner_joins_while_its_leader_is_open() -> None:
    """A leader that is only cut from the store serves on."""
    planner = new_planner()
    leader, member = open_pair()
    first = evolve(
        view_of(member, runner(2)),
        members={KEY: {0: leader, 1: member}},
    )
    for step in range(100):
        assert not formed(planner.decide(evolve(first, now_s=step)))


def test_members_of_a_departed_leader_are_free() -> None:
    planner = new_planner()
    leader, member = open_pair()
    seen = evolve(
        view_of(member, runner(3)),
        members={KEY: {0: leader, 1: member}},
        reachable_unregistered=frozenset((leader.name,)),
    )
    assert not formed(planner.decide(seen))
    assert formed(planner.decide(evolve(seen, departed=frozenset((KEY,)))))
