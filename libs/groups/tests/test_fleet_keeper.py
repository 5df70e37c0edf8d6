"""Decisions of the keeper of a fleet."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.groups import (
    CloseGroup,
    FleetKeeper,
    FleetView,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    StageModel,
)
from cowslipstep.model import (
    Address,
    DiscoveredRunner,
    EngineProfile,
    Seat,
    SeatState,
    ServedModel,
)

PAIR = ServedModel('pair', group_size=2, load_s=12, warm_s=1)
ENGINE = EngineProfile(
    slots=9,
    models=(PAIR,),
    step_s=0.008,
    sequence_step_s=0.0002,
    prefill_tokens_per_s=45900,
    stride=5,
    loads_per_s=5,
    loads_at_once=7,
    form_s=0.3,
    usual_output_tokens=150,
)
KEY = ('g1', 1)
TERM = 7


def runner(number: int, seat: Seat | None = None) -> DiscoveredRunner:
    return DiscoveredRunner(
        name=f'r{number}',
        service='drafting',
        address=Address('127.0.0.1', 1000 + number),
        failure_domain='north',
        slots=9,
        fabric_domain='north-1',
        loaded=('pair',) if seat else (),
        seat=seat,
    )


def seated(number: int, rank: int, state: SeatState) -> DiscoveredRunner:
    return runner(number, Seat(*KEY, rank, state))


def view_of(*runners: DiscoveredRunner, now_s: float = 0) -> FleetView:
    named = {member.name: member for member in runners}
    return FleetView(named, ENGINE, now_s)


def open_pair() -> tuple[DiscoveredRunner, DiscoveredRunner]:
    return seated(0, 0, SeatState.open), seated(1, 1, SeatState.ready)


def kinds(decisions: list) -> list[type]:
    return [type(decision) for decision in decisions]


def formed(decisions: list) -> list[FormGroup]:
    return [
        decision for decision in decisions if isinstance(decision, FormGroup)
    ]


def test_free_runners_form_a_group_that_opens_when_all_are_ready() -> None:
    keeper = FleetKeeper(TERM)
    keeper.decide(view_of(runner(0), runner(1)))
    order = formed(keeper.decide(view_of(runner(0), runner(1), now_s=2)))
    assert not order, 'the group is ordered already'


def test_group_opens_only_when_all_members_are_ready() -> None:
    keeper = FleetKeeper(TERM)
    joining = seated(1, 1, SeatState.joining)
    ready = seated(0, 0, SeatState.ready)
    assert OpenGroup not in kinds(keeper.decide(view_of(ready, joining)))
    whole = view_of(ready, seated(1, 1, SeatState.ready), now_s=1)
    assert OpenGroup in kinds(keeper.decide(whole))


def test_head_leaves_before_a_member_joins_another_group() -> None:
    keeper = FleetKeeper(TERM)
    head, member = open_pair()
    keeper.decide(view_of(head, member, runner(2)))
    decisions = keeper.decide(view_of(head, runner(2), now_s=5))
    assert kinds(decisions) == [LeaveGroup]
    left = evolve(head, seat=None)
    assert formed(keeper.decide(view_of(left, runner(2), now_s=6)))


def test_member_of_a_silent_head_leaves_before_it_joins() -> None:
    keeper = FleetKeeper(TERM)
    head, member = open_pair()
    seen = view_of(member, runner(2), now_s=100)
    seen = evolve(seen, members={KEY: {0: head, 1: member}})
    decisions = keeper.decide(seen)
    assert decisions == [LeaveGroup(KEY, member)]
    left = evolve(member, seat=None)
    assert formed(keeper.decide(view_of(left, runner(2), now_s=101)))


def test_vanished_head_that_answers_finishes_then_leaves() -> None:
    keeper = FleetKeeper(TERM)
    head, member = open_pair()
    seen = evolve(
        view_of(member, runner(2)),
        members={KEY: {0: head, 1: member}},
        heard=frozenset((head.name,)),
    )
    assert keeper.decide(seen) == [CloseGroup(KEY, head)]
    late = evolve(seen, now_s=5)
    assert keeper.decide(late) == [LeaveGroup(KEY, head)]


def test_group_of_a_vanished_member_that_answers_serves_on() -> None:
    keeper = FleetKeeper(TERM)
    head, member = open_pair()
    seen = evolve(
        view_of(head),
        members={KEY: {0: head, 1: member}},
        heard=frozenset((member.name,)),
    )
    assert not keeper.decide(seen)


def test_numbers_of_groups_pass_all_that_runners_report() -> None:
    keeper = FleetKeeper(0)
    other = Seat('g99', 99, 1, SeatState.ready)
    keeper.decide(view_of(runner(5, other)))
    pairs = view_of(runner(0), runner(1), runner(5, other), now_s=9)
    orders = formed(keeper.decide(pairs))
    assert [order.key[1] for order in orders] == [100]


def test_orders_without_effect_are_repeated_at_intervals() -> None:
    keeper = FleetKeeper(TERM)
    ready = (
        seated(0, 0, SeatState.ready),
        seated(1, 1, SeatState.ready),
    )
    counts = [
        kinds(keeper.decide(view_of(*ready, now_s=step / 10))).count(OpenGroup)
        for step in range(21)
    ]
    assert sum(counts) == 3


def test_hosts_load_a_second_model_within_the_pace_of_the_store() -> None:
    other = ServedModel('other', group_size=2, load_s=10)
    engine = evolve(ENGINE, models=(PAIR, other))
    groups = [
        (
            runner(2 * pair, Seat(f'g{pair}', pair, 0, SeatState.open)),
            runner(2 * pair + 1, Seat(f'g{pair}', pair, 1, SeatState.ready)),
        )
        for pair in range(10)
    ]
    members = [member for group in groups for member in group]
    named = {member.name: member for member in members}
    decisions = FleetKeeper(TERM).decide(FleetView(named, engine, 0))
    assert kinds(decisions) == [StageModel] * engine.loads_at_once
