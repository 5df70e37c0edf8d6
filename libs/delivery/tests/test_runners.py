"""Tests of the ejection of failing runners of a plain service."""

from __future__ import annotations

from cowslipstep.delivery import RunnerLoads
from cowslipstep.model import Address

FIRST = Address('10.0.0.1', 80)
SECOND = Address('10.0.0.2', 80)
BOTH = (FIRST, SECOND)


def fail(loads, runner, times=3):
    for _ in range(times):
        loads.begin_call(runner)
        loads.end_call(runner, failed=True)


def test_a_runner_is_ejected_after_three_failures():
    now_s = [0]
    loads = RunnerLoads(lambda: now_s[0])
    fail(loads, FIRST, times=2)
    assert loads.choose(BOTH, slots_per_runner=1) == FIRST
    fail(loads, FIRST, times=1)
    assert loads.choose(BOTH, slots_per_runner=1) == SECOND
    now_s[0] = 6
    assert loads.choose(BOTH, slots_per_runner=1) == FIRST


def test_a_runner_is_chosen_if_all_are_ejected():
    loads = RunnerLoads(int)
    fail(loads, FIRST)
    fail(loads, SECOND)
    assert loads.choose(BOTH, slots_per_runner=1) == FIRST


def test_an_ejected_runner_takes_overflow_calls():
    loads = RunnerLoads(int)
    fail(loads, FIRST)
    loads.begin_call(SECOND)
    assert loads.choose(BOTH, slots_per_runner=2) == SECOND
    assert loads.choose(BOTH, slots_per_runner=1) == FIRST
