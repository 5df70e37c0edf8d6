"""Who may hold bytes when the budget is used up."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipstep.memory import ByteBudget, ByteLimits, Holder, byte_limits

SMALL_BYTES = 60_000
LARGE_BYTES = 200_000
HOLDER_NUMBERS = st.integers(0, 9)
LIMITS = ByteLimits(1_000_000, 800_000)


class Bench:
    """A budget with a clock that the test sets."""

    def __init__(self) -> None:
        self.now_s: float = 0
        self.told: list[int] = []
        # Never closed: the callers send no more.
        self.waits = contextlib.ExitStack()
        self.budget = ByteBudget(lambda: LIMITS, lambda: self.now_s)

    def receiving(self, held_bytes: int) -> Holder:
        """Return a holder that has received bytes and waits for more."""
        holder = self.budget.holder(lambda: self.told.append(holder.order))
        self.waits.enter_context(holder.waiting_for_caller())
        self.receive(holder, held_bytes)
        return holder

    def large(self, count: int) -> list[Holder]:
        return [self.receiving(LARGE_BYTES) for _ in range(count)]

    def receive(self, holder: Holder, received_bytes: int) -> bool:
        holder.record_progress(received_bytes)
        return self.budget.charge(holder, received_bytes)


# A declared length that does not arrive kept its room for a minute.
def test_a_stalled_holder_loses_to_a_newcomer() -> None:
    bench = Bench()
    stalled = bench.large(4)
    bench.now_s = 3
    newcomer = bench.receiving(LARGE_BYTES)
    assert not newcomer.lost
    assert bench.told == [stalled[0].order]


def test_one_byte_now_and_then_is_no_progress() -> None:
    bench = Bench()
    trickling, moving = (bench.receiving(350_000) for _ in range(2))
    for second in range(1, 6):
        bench.now_s = second
        bench.receive(trickling, 1)
        moving.record_progress(100_000)
    bench.receiving(LARGE_BYTES)
    assert bench.told == [trickling.order]


def test_a_newcomer_loses_if_all_make_progress() -> None:
    bench = Bench()
    others = bench.large(4)
    newcomer = bench.receiving(LARGE_BYTES)
    assert newcomer.lost
    assert not any(holder.lost for holder in others)
    assert not bench.told


# Large bodies that make progress left no room for an ordinary caller.
def test_the_reserve_is_left_for_small_holders() -> None:
    bench = Bench()
    bench.large(5)
    assert not bench.receiving(SMALL_BYTES).lost


def test_large_holders_displace_no_small_one() -> None:
    bench = Bench()
    small = [bench.receiving(SMALL_BYTES) for _ in range(10)]
    bench.now_s = 3
    bench.large(4)
    assert not any(holder.lost for holder in small)


# The response of a request that has run must not be taken from its caller.
def test_a_request_that_runs_does_not_lose() -> None:
    bench = Bench()
    running = bench.large(4)
    for holder in running:
        holder.can_lose = False
    bench.now_s = 3
    assert bench.receiving(LARGE_BYTES).lost
    assert not any(holder.lost for holder in running)


@pytest.mark.parametrize('memory_bytes', [0, 160e6, 200e6, 552e6])
def test_the_largest_request_is_served_alone(memory_bytes: float) -> None:
    largest_bytes = 4_194_304 + 8_388_608
    limits = byte_limits(memory_bytes, largest_bytes)
    budget = ByteBudget(lambda: limits, float)
    assert budget.charge(budget.holder(bool), largest_bytes)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    steps=st.lists(
        st.tuples(HOLDER_NUMBERS, st.integers(1, 300_000), st.floats(0, 2))
    )
)
def test_what_is_kept_stays_within_the_limits(
    steps: list[tuple[int, int, float]],
) -> None:
    bench = Bench()
    holders = [bench.receiving(0) for _ in range(10)]
    for step in steps:
        bench.now_s += step[-1]
        bench.receive(holders[step[0]], step[1])
        assert held_by(holders, lost=False) <= LIMITS.max_bytes
    assert bench.budget.totals.kept_bytes == held_by(holders, lost=False)
    for holder in holders:
        bench.budget.release(holder, holder.held_bytes)
    assert not bench.budget.totals.held_bytes
    assert not bench.budget.totals.kept_bytes


def held_by(holders: list[Holder], *, lost: bool) -> int:
    return sum(entry.held_bytes for entry in holders if entry.lost == lost)
