"""Seeded cases of orders while daemons, platform and upstream fail.

Daemons are killed or paused, upstreams interrupt responses, and responses of
the platform are lost. Each case sends one order one to five times through
random daemons, some of the sends at the same time; the order must not run
twice.
"""

from __future__ import annotations

import collections
import random

import eventlet
from _order_cases import (
    DAEMON_NAMES,
    Case,
    SendOutcome,
    send,
    start_daemons,
    uuid7_key,
    with_ledger,
)

CASES = 1200
END_S = 1.5


def run_case(seed: int, run_once) -> Case:
    """Send one order several times; sends may overlap."""
    case = Case(random.Random(seed))
    start_daemons(case)
    if case.chance(50):
        case.key = uuid7_key()
    sends = [
        start_send(case, run_once, number)
        for number in range(case.rng.randint(1, 5))
    ]
    with eventlet.Timeout(END_S, False):
        for task in sends:
            task.wait()
    for task in sends:
        task.kill()
    return case


def start_send(case, run_once, number):
    """Start a send and wait a short or a long time for its outcome."""
    daemon = case.daemons[case.rng.choice(DAEMON_NAMES)]
    case.outage = case.chance(10)
    task = eventlet.spawn(send, case, daemon, run_once, number == 0)
    with eventlet.Timeout(case.rng.choice([0.002, 0.4]), False):
        task.wait()
    return task


def without_ledger(_daemon):
    """Run an order each time it is sent, without a claim."""
    return lambda _order, pieces, _run: pieces


def count_verdicts(run_once, cases: int) -> collections.Counter:
    """Run cases concurrently and count their verdicts and faults."""
    counts = collections.Counter()
    pool = eventlet.GreenPool(200)
    for case in pool.starmap(
        run_case, ((seed, run_once) for seed in range(cases))
    ):
        counts['doubled'] += len(case.runs) > 1
        for outcome in case.outcomes:
            counts[outcome.verdict] += 1
            counts['false_not_run'] += is_false_not_run(outcome)
            counts['wrong_answer'] += is_wrong(outcome, case)
    return counts


def is_false_not_run(outcome: SendOutcome) -> bool:
    ran = outcome.runs_before > 0 or outcome.own_runs > 0
    return ran and outcome.verdict == 'not_run'


def is_wrong(outcome: SendOutcome, case: Case) -> bool:
    return outcome.verdict == 'completed' and outcome.body not in case.runs


def test_no_order_runs_twice(record_property):
    counts = count_verdicts(with_ledger, CASES)
    for name, count in counts.items():
        record_property(name, count)
    assert counts['doubled'] == 0
    assert counts['false_not_run'] == 0
    assert counts['wrong_answer'] == 0
    assert counts['completed'] > CASES / 2
    assert counts['may_have_run'] > 0


def test_without_the_ledger_orders_run_twice():
    counts = count_verdicts(without_ledger, 100)
    assert counts['doubled'] > 0
    assert counts['false_not_run'] > 0
