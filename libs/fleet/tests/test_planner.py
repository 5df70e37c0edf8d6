"""Tests of the decisions of the planner of a fleet."""

from __future__ import annotations

from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import (
    CloseGroup,
    DiscoveredRunner,
    Epochs,
    FleetPlanner,
    FleetView,
    FormGroup,
    GroupId,
    GroupPosition,
    LeaveGroup,
    MemberState,
    ModelProfile,
    OpenGroup,
    StageModel,
)
from cowslipstep.fleet._registration_tracker import RegistrationTracker
from cowslipstep.model import Address

PAIR = ModelProfile('pair', group_size=2, load_s=12, staged_load_s=1)
ENGINE = engine_of(PAIR)
KEY = GroupId('drafting', 'g1', 1)
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
        loaded_models=('pair',) if group_position else (),
        group_position=group_position,
    )


def free_runner(number: int) -> DiscoveredRunner:
    """Return a runner without a group whose host holds the weights."""
    return evolve(runner(number), staged_models=('pair',))


def group_member(
    number: int, rank: int, state: MemberState
) -> DiscoveredRunner:
    return runner(number, GroupPosition(KEY.name, KEY.epoch, rank, state))


def new_planner() -> FleetPlanner:
    return FleetPlanner(KEY.service, Epochs(TERM))


def view_of(*runners: DiscoveredRunner, now_s: float = 0) -> FleetView:
    named = {member.name: member for member in runners}
    return FleetView(named, ENGINE, now_s)


def open_pair() -> tuple[DiscoveredRunner, DiscoveredRunner]:
    return group_member(0, 0, MemberState.open), group_member(
        1, 1, MemberState.ready
    )


def kinds(decisions: list) -> list[type]:
    return [type(decision) for decision in decisions]


def formed(decisions: list) -> list[FormGroup]:
    return [
        decision for decision in decisions if isinstance(decision, FormGroup)
    ]


def test_pending_group_is_not_formed_again() -> None:
    planner = new_planner()
    free = view_of(runner(0), runner(1))
    assert formed(planner.decide(free))
    assert not formed(planner.decide(evolve(free, now_s=2)))


def test_group_opens_when_all_are_ready() -> None:
    planner = new_planner()
    joining = group_member(1, 1, MemberState.joining)
    ready = group_member(0, 0, MemberState.ready)
    assert OpenGroup not in kinds(planner.decide(view_of(ready, joining)))
    complete = view_of(ready, group_member(1, 1, MemberState.ready), now_s=1)
    assert OpenGroup in kinds(planner.decide(complete))


# A late command to join another group reached the leader of a group that had
# been opened meanwhile.
def test_superseded_group_is_not_opened() -> None:
    planner = new_planner()
    assert formed(planner.decide(view_of(free_runner(0), free_runner(1))))
    # The command of an earlier controller took effect first.
    late = view_of(
        group_member(0, 0, MemberState.ready),
        group_member(1, 1, MemberState.ready),
        now_s=1,
    )
    decisions = planner.decide(late)
    assert kinds(decisions) == [LeaveGroup]


def test_leader_leaves_before_its_members_move() -> None:
    planner = new_planner()
    leader, member = open_pair()
    planner.decide(view_of(leader, member, free_runner(2)))
    decisions = planner.decide(view_of(leader, free_runner(2), now_s=5))
    assert kinds(decisions) == [LeaveGroup]
    left = evolve(leader, group_position=None)
    assert formed(planner.decide(view_of(left, free_runner(2), now_s=6)))


def test_members_of_lost_leader_leave_first() -> None:
    planner = new_planner()
    leader, member = open_pair()
    view = evolve(
        view_of(member, free_runner(2), now_s=100),
        known_members={KEY: {0: leader, 1: member}},
    )
    # No probe of the leader has ended.
    assert not planner.decide(view)
    view = evolve(view, lost_runners=frozenset((leader.name,)))
    assert planner.decide(view) == [LeaveGroup(KEY, member)]
    left = view_of(
        evolve(member, group_position=None), free_runner(2), now_s=101
    )
    assert formed(planner.decide(left))


def test_unregistered_leader_closes_then_leaves() -> None:
    planner = new_planner()
    leader, member = open_pair()
    view = evolve(
        view_of(member, free_runner(2)),
        known_members={KEY: {0: leader, 1: member}},
        reachable_unregistered=frozenset((leader.name,)),
    )
    assert planner.decide(view) == [CloseGroup(KEY, leader)]
    late = evolve(view, now_s=5)
    assert planner.decide(late) == [LeaveGroup(KEY, leader)]


def test_group_of_unregistered_member_serves_on() -> None:
    planner = new_planner()
    leader, member = open_pair()
    view = evolve(
        view_of(leader),
        known_members={KEY: {0: leader, 1: member}},
        reachable_unregistered=frozenset((member.name,)),
    )
    assert not planner.decide(view)


def test_new_epoch_exceeds_all_reported_epochs() -> None:
    planner = FleetPlanner(KEY.service, Epochs(0))
    other = runner(5, GroupPosition('g99', 99, 1, MemberState.ready))
    planner.decide(view_of(other))
    pairs = view_of(runner(0), runner(1), other, now_s=9)
    commands = formed(planner.decide(pairs))
    assert [command.key.epoch for command in commands] == [100]


def test_commands_are_repeated_at_intervals() -> None:
    planner = new_planner()
    ready = (
        group_member(0, 0, MemberState.ready),
        group_member(1, 1, MemberState.ready),
    )
    view = view_of(*ready)
    decisions = [
        kinds(planner.decide(evolve(view, now_s=step / 10)))
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


def test_staging_keeps_to_the_load_limits() -> None:
    other = ModelProfile('other', group_size=2, load_s=10)
    engine = evolve(ENGINE, models=(PAIR, other))
    view = FleetView(open_groups(10), engine, 0)
    decisions = kinds(new_planner().decide(view))
    assert set(decisions) == {StageModel}
    assert len(decisions) == engine.loads_at_once


# Groups that change their model took all loads; replacements of lost runners
# had no weights for 30 s.
def test_hosts_without_weights_load_first() -> None:
    other = ModelProfile('other', group_size=2, load_s=10)
    engine = evolve(ENGINE, models=(PAIR, other), loads_at_once=1)
    empty = runner(100)
    runners = {**open_groups(10), empty.name: empty}
    decisions = new_planner().decide(FleetView(runners, engine, 0))
    assert decisions == [StageModel(empty, 'pair')]


def test_no_runner_joins_while_its_leader_is_open() -> None:
    """A leader without a registration may still serve.

    It may only have lost its connection to the store.
    """
    planner = new_planner()
    leader, member = open_pair()
    first = evolve(
        view_of(member, runner(2)),
        known_members={KEY: {0: leader, 1: member}},
    )
    for step in range(100):
        assert not formed(planner.decide(evolve(first, now_s=step)))


def test_members_of_a_departed_leader_are_free() -> None:
    planner = new_planner()
    leader, member = open_pair()
    view = evolve(
        view_of(member, free_runner(3)),
        known_members={KEY: {0: leader, 1: member}},
        reachable_unregistered=frozenset((leader.name,)),
    )
    assert not formed(planner.decide(view))
    assert formed(planner.decide(evolve(view, departed=frozenset((KEY,)))))


# The leader of a group of another service had confirmed that it left; the
# members of the open group of the same name were taken for another one.
def test_like_named_departed_group_frees_nobody() -> None:
    members = open_pair()
    like_named = evolve(KEY, service='reporting')
    view = evolve(
        view_of(*members, now_s=9),
        departed=frozenset((like_named,)),
        demand={'pair': 9},
    )
    assert not formed(new_planner().decide(view))


def test_epochs_of_two_services_differ() -> None:
    epochs = Epochs(TERM)
    view = view_of(runner(0), runner(1), now_s=9)
    services = (KEY.service, 'reporting')
    planners = [FleetPlanner(service, epochs) for service in services]
    groups = [formed(planner.decide(view))[0].key for planner in planners]
    assert [group.service for group in groups] == list(services)
    assert groups[0].epoch != groups[1].epoch


# Runners that had been cut off from the store, and the fleet of a new planner,
# counted as new; nothing was reallocated for 1.5 s.
def test_only_new_runners_are_registering() -> None:
    tracker = RegistrationTracker()
    started = {f'r{number}': runner(number) for number in range(10)}
    assert not tracker.have_settled(FleetView(started, ENGINE, 0))
    assert tracker.have_settled(FleetView({}, ENGINE, 5))
    assert tracker.have_settled(FleetView(started, ENGINE, 10))
    assert not tracker.have_settled(FleetView(started, ENGINE, 60))
    assert RegistrationTracker().have_settled(
        FleetView(open_groups(5), ENGINE, 0)
    )
