"""Tests of retries, the retry budget and the choice of a runner."""

from __future__ import annotations

from cowslipstep.delivery import (
    RetryBudget,
    RunnerLoads,
    combine_verdicts,
    may_retry,
)
from cowslipstep.model import Address, Completed, MayHaveRun, NotRun, Reason

CUT = MayHaveRun(Reason.upstream_cut)
REFUSED = NotRun(Reason.upstream_refused)
RUNNERS = tuple(Address('10.0.0.1', port) for port in (1, 2, 3))


def test_retries_cannot_run_a_request_twice():
    assert may_retry(REFUSED, idempotent=False, response_begun=False)
    assert may_retry(CUT, idempotent=True, response_begun=False)
    assert not may_retry(CUT, idempotent=False, response_begun=False)
    assert not may_retry(CUT, idempotent=True, response_begun=True)
    assert not may_retry(Completed(), idempotent=True, response_begun=False)


def test_an_uncertain_attempt_overrides_a_refusal():
    assert combine_verdicts(CUT, REFUSED) == CUT
    assert combine_verdicts(REFUSED, CUT) == CUT
    assert combine_verdicts(None, REFUSED) == REFUSED


def test_retries_stay_a_tenth_of_the_requests():
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.record_request()
        retries += budget.spend()
    assert 90 <= retries <= 101


def test_the_least_loaded_runner_is_chosen():
    loads = RunnerLoads(int)
    first, second, third = RUNNERS
    loads.begin_call(first)
    assert loads.choose(RUNNERS, 1) == second
    loads.begin_call(second)
    assert loads.choose(RUNNERS, 1, avoided=[third]) == third
    loads.begin_call(third)
    assert loads.choose(RUNNERS, 1) is None


def test_a_failing_runner_is_ejected_temporarily():
    now_s = [0]
    loads = RunnerLoads(lambda: now_s[0])
    for _ in range(3):
        loads.begin_call(RUNNERS[0])
        loads.end_call(RUNNERS[0], failed=True)
    assert loads.choose(RUNNERS, 8) == RUNNERS[1]
    assert loads.choose(RUNNERS[:1], 8) == RUNNERS[0]
    now_s[0] = 6
    assert loads.choose(RUNNERS, 8) == RUNNERS[0]
