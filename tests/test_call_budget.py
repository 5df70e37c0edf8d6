"""Steps of the feature on the budget of calls, counted at the platform."""

from __future__ import annotations

import contextlib
import itertools
import time
from collections.abc import Iterator

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep_standins._background_load import (
    BackgroundLoad,
    background_load,
)
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._order_load import OrderLoad, order_load
from cowslipstep_standins._plan import FleetShape

scenarios('call_budget.feature')

CALLS_PER_S = 5
BURST = 2 * CALLS_PER_S
TOLERATED_FAILURES = 3
SHORTEST_BACKOFFS_S = (0.1, 0.2, 0.4, 0.8)
LONG_BACKOFF_S = 1


@define
class Counted:
    """A fleet under load and the calls that the platform counted."""

    fleet: LocalFleet
    load: BackgroundLoad
    orders: OrderLoad
    elapsed_s: float = 0
    calls: dict[str, int] = field(factory=dict)

    def senders(self) -> dict[str, int]:
        return self.fleet.control(self.fleet.plan.platform)['senders']

    def count(self, seconds: float, *, outage: bool) -> None:
        """Count the calls of each daemon for a while."""
        started_s = time.monotonic()
        before = self.senders()
        self.fleet.control(self.fleet.plan.platform, {'outage': outage})
        time.sleep(seconds)
        self.calls = {
            sender: count - before.get(sender, 0)
            for sender, count in self.senders().items()
        }
        self.elapsed_s = time.monotonic() - started_s


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given(
    'three daemons with a budget of 5 reads and 5 changes a second, under load',
    target_fixture='counted',
)
def given_budget(stack: contextlib.ExitStack) -> Counted:
    shape = FleetShape(
        daemons=3,
        services=1,
        platform_calls_per_s=CALLS_PER_S,
    )
    fleet = stack.enter_context(local_fleet(shape))
    load = stack.enter_context(background_load(fleet))
    return Counted(fleet, load, stack.enter_context(order_load(fleet)))


@when(parsers.parse('the platform is down for {seconds:d} seconds'))
def outage(counted: Counted, seconds: int) -> None:
    counted.count(seconds, outage=True)


@when(parsers.parse('the platform is back for {seconds:d} seconds'))
def recovery(counted: Counted, seconds: int) -> None:
    counted.count(seconds, outage=False)


def most_probes(elapsed_s: float) -> float:
    """Calls that pass where every backoff is as short as may be."""
    starts_s = itertools.accumulate(SHORTEST_BACKOFFS_S)
    first = sum(start_s <= elapsed_s for start_s in starts_s)
    rest_s = elapsed_s - sum(SHORTEST_BACKOFFS_S)
    return first + max(0, rest_s) / LONG_BACKOFF_S


@then('no daemon called it more often than its backoff allows')
def check_backoff(counted: Counted) -> None:
    names = [plan.name for plan in counted.fleet.plan.daemons]
    # Calls may be on their way when the third failure is counted.
    at_first = TOLERATED_FAILURES + 2 * BURST
    for name in names:
        calls = counted.calls[f'{name} reads']
        calls += counted.calls.get(f'{name} changes', 0)
        assert calls <= at_first + most_probes(counted.elapsed_s)


@then('no daemon called it more often than its budget allows')
def check_budget(counted: Counted) -> None:
    most = BURST + CALLS_PER_S * counted.elapsed_s
    names = [plan.name for plan in counted.fleet.plan.daemons]
    for sender in itertools.product(names, ('reads', 'changes')):
        assert counted.calls[' '.join(sender)] <= most


@then('all idempotent requests were answered whole')
def check_answers(counted: Counted) -> None:
    counted.load.end()
    assert counted.load.outcomes
    wrong = [sent for sent in counted.load.outcomes if not sent.correct]
    assert not wrong


@then('no order was doubled and none falsely told as not run')
def check_orders(counted: Counted) -> None:
    counted.orders.end()
    told = count_outcomes(counted.orders.outcomes, counted.fleet)
    assert told.correct, told
    assert told.answered
