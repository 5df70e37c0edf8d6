"""Tests of keyed orders while a daemon or all cannot reach the platform."""

from __future__ import annotations

import random
import time

import eventlet
import pytest
from _order_cases import (
    NAMES,
    Case,
    quiet_case,
    send,
    some_daemons,
    timed_key,
    with_ledger,
)


def wait_until(condition) -> None:
    """Let the daemons go on until a condition holds."""
    with eventlet.Timeout(30):
        while not condition():
            eventlet.sleep(0.01)


def test_a_platform_that_is_down_starts_nothing():
    case = Case(random.Random(1), outage=True)
    daemon = some_daemons(case)
    for first_send in (True, False):
        send(case, daemon, with_ledger, first_send)
    assert not case.runs
    verdicts = [answer.verdict for answer in case.answers]
    assert verdicts == ['not_run', 'may_have_run']


def test_a_short_outage_refuses_nothing():
    case = quiet_case()
    daemon = some_daemons(case)
    for peer in case.daemons.values():
        peer.answered_at_s = time.monotonic()
    case.outage = True
    eventlet.spawn_after(0.05, setattr, case, 'outage', False)
    send(case, daemon, with_ledger, first_send=True)
    assert case.answers[-1].verdict == 'completed'


@pytest.mark.parametrize('make_key', [str, timed_key])
@pytest.mark.parametrize('cut_off', NAMES)
def test_a_daemon_cut_off_lets_another_write(
    make_key,
    cut_off,
):
    case = quiet_case()
    some_daemons(case)
    case.daemons[cut_off].cut_off = True
    for number, daemon in enumerate(case.daemons.values()):
        case.key = make_key(number)
        send(case, daemon, with_ledger, first_send=True)
    assert {answer.verdict for answer in case.answers} == {'completed'}
    assert len(case.runs) == len(NAMES)


def test_an_unknown_claim_is_withdrawn_later():
    case = quiet_case()
    daemon = some_daemons(case)
    case.outage_follows = True
    send(case, daemon, with_ledger, first_send=True)
    assert case.answers[-1].verdict == 'not_run'
    assert not case.runs
    case.outage = False
    wait_until(lambda: not case.entered)
    send(case, daemon, with_ledger, first_send=False)
    assert case.answers[-1].verdict == 'completed'
