"""Steps of the feature on the budget of calls, as counted by the platform."""

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
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._order_load import OrderLoad, order_load
from cowslipstep_standins._plan import FleetShape

scenarios('call_budget.feature')

CALLS_PER_S = 5
BURST_CALLS = 2 * CALLS_PER_S
FAILURES_BEFORE_BACKOFF = 3
MIN_FIRST_BACKOFFS_S = (0.1, 0.2, 0.4, 0.8)
MIN_LATER_BACKOFF_S = 1


@define
class CallMeasurement:
    """A fleet under load and the calls that the platform counted.

    ``calls`` are those of the last call of ``count``, by sender and kind.
    """

    fleet: LocalFleet
    load: BackgroundLoad
    orders: OrderLoad
    elapsed_s: float = 0
    calls: dict[str, int] = field(factory=dict)

    def senders(self) -> dict[str, int]:
        return self.fleet.control(self.fleet.plan.platform)['senders']

    def count(self, seconds: float, *, outage: bool) -> None:
        """Count the calls of each daemon for some seconds."""
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
    target_fixture='measurement',
)
def given_fleet(stack: contextlib.ExitStack) -> CallMeasurement:
    shape = FleetShape(
        daemons=3,
        services=1,
        platform_calls_per_s=CALLS_PER_S,
    )
    fleet = stack.enter_context(local_fleet(shape))
    load = stack.enter_context(background_load(fleet))
    return CallMeasurement(fleet, load, stack.enter_context(order_load(fleet)))


@when(parsers.parse('the platform is down for {seconds:d} seconds'))
def outage(measurement: CallMeasurement, seconds: int) -> None:
    measurement.count(seconds, outage=True)


@when(parsers.parse('the platform is back for {seconds:d} seconds'))
def recovery(measurement: CallMeasurement, seconds: int) -> None:
    measurement.count(seconds, outage=False)


def max_calls_in_backoff(elapsed_s: float) -> float:
    """Return the largest number of calls that backoffs allow meanwhile."""
    starts_s = itertools.accumulate(MIN_FIRST_BACKOFFS_S)
    first = sum(start_s <= elapsed_s for start_s in starts_s)
    rest_s = elapsed_s - sum(MIN_FIRST_BACKOFFS_S)
    return first + max(0, rest_s) / MIN_LATER_BACKOFF_S


@then('no daemon called it more often than its backoff allows')
def check_backoff(measurement: CallMeasurement) -> None:
    names = [plan.name for plan in measurement.fleet.plan.daemons]
    # Calls may be in flight when the third failure is counted.
    before_backoff = FAILURES_BEFORE_BACKOFF + 2 * BURST_CALLS
    for name in names:
        calls = measurement.calls[f'{name} reads']
        calls += measurement.calls.get(f'{name} changes', 0)
        assert calls <= before_backoff + max_calls_in_backoff(
            measurement.elapsed_s
        )


@then('no daemon called it more often than its budget allows')
def check_budget(measurement: CallMeasurement) -> None:
    budget = BURST_CALLS + CALLS_PER_S * measurement.elapsed_s
    names = [plan.name for plan in measurement.fleet.plan.daemons]
    for sender in itertools.product(names, ('reads', 'changes')):
        assert measurement.calls[' '.join(sender)] <= budget


@then('all idempotent requests received their complete response')
def check_responses(measurement: CallMeasurement) -> None:
    measurement.load.end()
    assert measurement.load.outcomes
    wrong = [
        outcome for outcome in measurement.load.outcomes if not outcome.correct
    ]
    assert not wrong


@then('no order ran twice and no "not_run" verdict was false')
def check_orders(measurement: CallMeasurement) -> None:
    measurement.orders.end()
    counts = count_outcomes(measurement.orders.outcomes, measurement.fleet)
    assert counts.correct, counts
    assert counts.answered
