"""Decisions of the keeper of a fleet."""

from __future__ import annotations

from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import (
    CloseGroup,
    DiscoveredRunner,
    FleetKeeper,
    FleetView,
    FormGroup,
    LeaveGroup,
    OpenGroup,
    Seat,
    SeatState,
    ServedModel,
    StageModel,
)
from cowslipstep.model import Address

PAIR = ServedModel('pair', group_size=2, load_s=12, warm_s=1)
ENGINE = engine_of(PAIR)
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


def new_keeper() -> FleetKeeper:
    return FleetKeeper(TERM)


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


def test_ordered_group_is_not_ordered_again() -> None:
    keeper = new_keeper()
    free = view_of(runner(0), runner(1))
    assert formed(keeper.decide(free))
    assert not formed(keeper.decide(evolve(free, now_s=2)))


def test_group_opens_when_all_are_ready() -> None:
    keeper = new_keeper()
    joining = seated(1, 1, SeatState.joining)
    ready = seated(0, 0, SeatState.ready)
    assert OpenGroup not in kinds(keeper.decide(view_of(ready, joining)))
    whole = view_of(ready, seated(1, 1, SeatState.ready), now_s=1)
    assert OpenGroup in kinds(keeper.decide(whole))


def test_head_leaves_before_its_member_joins() -> None:
    keeper = new_keeper()
    head, member = open_pair()
    keeper.decide(view_of(head, member, runner(2)))
    decisions = keeper.decide(view_of(head, runner(2), now_s=5))
    assert kinds(decisions) == [LeaveGroup]
    left = evolve(head, seat=None)
    assert formed(keeper.decide(view_of(left, runner(2), now_s=6)))


def test_member_of_silent_head_leaves_first() -> None:
    keeper = new_keeper()
    head, member = open_pair()
    seen = view_of(member, runner(2), now_s=100)
    seen = evolve(seen, members={KEY: {0: head, 1: member}})
    assert keeper.decide(seen) == [LeaveGroup(KEY, member)]
    left = view_of(evolve(member, seat=None), runner(2), now_s=101)
    assert formed(keeper.decide(left))


def test_vanished_head_finishes_then_leaves() -> None:
    keeper = new_keeper()
    head, member = open_pair()
    seen = evolve(
        view_of(member, runner(2)),
        members={KEY: {0: head, 1: member}},
        heard=frozenset((head.name,)),
    )
    assert keeper.decide(seen) == [CloseGroup(KEY, head)]
    late = evolve(seen, now_s=5)
    assert keeper.decide(late) == [LeaveGroup(KEY, head)]


def test_group_of_vanished_member_serves_on() -> None:
    keeper = new_keeper()
    head, member = open_pair()
    seen = evolve(
        view_of(head),
        members={KEY: {0: head, 1: member}},
        heard=frozenset((member.name,)),
    )
    assert not keeper.decide(seen)


def test_numbers_pass_all_that_are_reported() -> None:
    keeper = FleetKeeper(0)
    other = runner(5, Seat('g99', 99, 1, SeatState.ready))
    keeper.decide(view_of(other))
    pairs = view_of(runner(0), runner(1), other, now_s=9)
    orders = formed(keeper.decide(pairs))
    assert [order.key[1] for order in orders] == [100]


def test_orders_are_repeated_at_intervals() -> None:
    keeper = new_keeper()
    ready = (
        seated(0, 0, SeatState.ready),
        seated(1, 1, SeatState.ready),
    )
    seen = view_of(*ready)
    decisions = [
        kinds(keeper.decide(evolve(seen, now_s=step / 10)))
        for step in range(21)
    ]
    assert decisions.count([OpenGroup]) == 3


def open_groups(count: int) -> dict[str, DiscoveredRunner]:
    named = {}
    for pair in range(count):
        head = Seat(f'g{pair}', pair, 0, SeatState.open)
        for rank in range(2):
            member = runner(2 * pair + rank, evolve(head, rank=rank))
            named[member.name] = member
    return named


def test_hosts_load_a_second_model_in_pace() -> None:
    other = ServedModel('other', group_size=2, load_s=10)
    engine = evolve(ENGINE, models=(PAIR, other))
    view = FleetView(open_groups(10), engine, 0)
    decisions = kinds(new_keeper().decide(view))
    assert set(decisions) == {StageModel}
    assert len(decisions) == engine.loads_at_once


def test_no_runner_joins_while_its_head_is_open() -> None:
    """A head that is only cut from the store serves on."""
    keeper = new_keeper()
    head, member = open_pair()
    first = evolve(
        view_of(member, runner(2)),
        members={KEY: {0: head, 1: member}},
    )
    for step in range(100):
        assert not formed(keeper.decide(evolve(first, now_s=step)))


def test_members_of_a_head_that_has_left_are_free() -> None:
    keeper = new_keeper()
    head, member = open_pair()
    seen = evolve(
        view_of(member, runner(3)),
        members={KEY: {0: head, 1: member}},
        heard=frozenset((head.name,)),
    )
    assert not formed(keeper.decide(seen))
    assert formed(keeper.decide(evolve(seen, left=frozenset((KEY,)))))
