"""Tests of the call budget and the circuit breaker, on a simulated clock."""

import random

from cowslipstep.platform import BudgetLimits, CallBudget, Priority
from cowslipstep.platform._circuit_breaker import CircuitBreaker

LIMITS = BudgetLimits(calls_per_s=10)


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now_s = 0

    def __call__(self):
        return self.now_s


def test_urgent_calls_pass_when_others_fail():
    budget = CallBudget(LIMITS, Clock())
    assert not all(budget.take(Priority.status) for _ in range(100))
    for priority in (Priority.configuration, Priority.orders, Priority.lease):
        assert budget.take(priority)


def test_smaller_limits_hold_at_once():
    budget = CallBudget(LIMITS, Clock())
    budget.change_limits(BudgetLimits(calls_per_s=1))
    taken = [budget.take(Priority.lease) for _ in range(3)]
    assert taken == [True, True, False]


def test_rate_holds_whatever_the_demand():
    clock = Clock()
    budget = CallBudget(LIMITS, clock)
    taken = 0
    for _ in range(1000):
        clock.now_s += 0.01
        taken += sum(budget.take(Priority.lease) for _ in range(5))
    assert taken <= LIMITS.burst + LIMITS.calls_per_s * 10 + 1


def probe_gaps(breaker, clock):
    """Yield whole seconds between the probes in an outage of 10 minutes."""
    probed_at_s = clock.now_s
    for _ in range(6000):
        clock.now_s += 0.1
        if breaker.admit():
            breaker.record_failure()
            yield round(clock.now_s - probed_at_s)
            probed_at_s = clock.now_s


def test_long_outage_is_probed_at_a_bounded_rate():
    clock = Clock()
    breaker = CircuitBreaker(clock, random.Random(1))
    gaps = list(probe_gaps(breaker, clock))
    assert set(gaps[10:]) == {1, 2}
    breaker.record_success()
    assert all(breaker.admit() for _ in range(5))


def test_a_few_failures_do_not_open_the_breaker():
    breaker = CircuitBreaker(Clock(), random.Random(1))
    breaker.record_failure()
    breaker.record_failure()
    assert breaker.admit()


def test_larger_limits_leave_room_for_all_calls():
    budget = CallBudget(BudgetLimits(calls_per_s=1), Clock())
    budget.change_limits(LIMITS)
    assert budget.take(Priority.status)
