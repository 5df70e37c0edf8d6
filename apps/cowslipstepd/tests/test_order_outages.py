"""Tests of orders while one daemon or all cannot reach the platform."""

from __future__ import annotations

import random
import time

import eventlet
import pytest
from _order_cases import (
    DAEMON_NAMES,
    Case,
    case_without_faults,
    send,
    start_daemons,
    uuid7_key,
    with_ledger,
)


def wait_until(condition) -> None:
    """Let the daemons run until a condition holds."""
    with eventlet.Timeout(30):
        while not condition():
            eventlet.sleep(0.01)


def test_no_order_starts_during_an_outage():
    case = Case(random.Random(1), outage=True)
    daemon = start_daemons(case)
    for first_send in (True, False):
        send(case, daemon, with_ledger, first_send)
    assert not case.runs
    verdicts = [outcome.verdict for outcome in case.outcomes]
    assert verdicts == ['not_run', 'may_have_run']


def test_a_short_outage_refuses_nothing():
    case = case_without_faults()
    daemon = start_daemons(case)
    for peer in case.daemons.values():
        peer.last_response_at_s = time.monotonic()
    case.outage = True
    eventlet.spawn_after(0.05, setattr, case, 'outage', False)
    send(case, daemon, with_ledger, first_send=True)
    assert case.outcomes[-1].verdict == 'completed'


@pytest.mark.parametrize('make_key', [str, uuid7_key])
@pytest.mark.parametrize('isolated', DAEMON_NAMES)
def test_an_isolated_daemon_lets_another_write(
    make_key,
    isolated,
):
    case = case_without_faults()
    start_daemons(case)
    case.daemons[isolated].isolated = True
    for number, daemon in enumerate(case.daemons.values()):
        case.key = make_key(number)
        send(case, daemon, with_ledger, first_send=True)
    assert {outcome.verdict for outcome in case.outcomes} == {'completed'}
    assert len(case.runs) == len(DAEMON_NAMES)


def test_an_unconfirmed_claim_is_withdrawn_later():
    case = case_without_faults()
    daemon = start_daemons(case)
    case.outage_after_write = True
    send(case, daemon, with_ledger, first_send=True)
    assert case.outcomes[-1].verdict == 'not_run'
    assert not case.runs
    case.outage = False
    wait_until(lambda: not case.entered)
    send(case, daemon, with_ledger, first_send=False)
    assert case.outcomes[-1].verdict == 'completed'


def test_a_planned_stop_waits_for_the_response():
    case = case_without_faults()
    daemon = start_daemons(case)
    send(case, daemon, with_ledger, first_send=True)
    assert not has_response(case)
    daemon.claims.wait_for_changes()
    assert has_response(case)


def has_response(case: Case) -> bool:
    return any('status' in body for _, body in case.stored.values())
