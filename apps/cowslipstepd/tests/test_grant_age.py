"""Tests of the age of a grant at the moment of its use."""

from __future__ import annotations

import contextlib
import time
from typing import Any

import pytest
from attrs import define, field

from cowslipstep.daemon import _tries
from cowslipstep.daemon._completions import CallerRequest
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._pauses import PauseWatch
from cowslipstep.daemon._relay import ResponseHead
from cowslipstep.daemon._slots import Slot
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Address, Cell, Grant, Request
from cowslipstep.settings import DaemonSettings

STARTABLE_S = 5
VALID_S = 10
CELL = Cell('drafting', 'ebene')
REQUEST = Request('r1', 'firm', 'urgent', 'drafting')
CALLER = CallerRequest(REQUEST, b'{}', '/v1/completions', False, '', None)
ANYWHERE = Address('127.0.0.1', 0)
SETTINGS = DaemonSettings('d0', 'ebene', ANYWHERE, ANYWHERE, ANYWHERE)


class Slots:
    """Gives grants that are so many seconds old, one after the other."""

    def __init__(self, *ages_s: float) -> None:
        self._ages_s = list(enumerate(ages_s))

    @contextlib.contextmanager
    def slot(self, _request, _avoid):
        """Give the next grant; each is on a port of its own."""
        port, age_s = self._ages_s.pop(0)
        renewed_s = time.monotonic() - age_s
        yield Slot(CELL, 'd1', grant_on(port), REQUEST, renewed_s=renewed_s)


def grant_on(port: int) -> Grant:
    address = Address('127.0.0.1', port)
    return Grant('r1', f'g{port}', address, VALID_S, STARTABLE_S)


@define
class Upstreams:
    """Ports that the request was sent to."""

    sent: list[int] = field(factory=list)

    def relay(self, _pool, call, run):
        """Answer a call as an upstream would."""
        self.sent.append(call.address.port)
        run.begun = True
        yield ResponseHead(200, 'text/plain', 2)
        yield b'ok'


@pytest.fixture
def upstreams(monkeypatch) -> Upstreams:
    called = Upstreams()
    monkeypatch.setattr(_tries, 'relay_whole', called.relay)
    return called


def deliver(*ages_s: float) -> None:
    nothing: Any = None
    slots: Any = Slots(*ages_s)
    state = DaemonState(SETTINGS, nothing)
    service = DeliveryService(state, slots, nothing)
    assert list(service.deliver(CALLER))[1:] == [b'ok']


def test_a_grant_within_its_time_is_sent(upstreams):
    deliver(STARTABLE_S - 1)
    assert upstreams.sent == [0]


def test_a_lapsed_grant_is_not_sent(upstreams):
    deliver(STARTABLE_S + 1, 0)
    assert upstreams.sent == [1]


def test_a_pause_counts_as_age(upstreams, monkeypatch):
    pauses = [STARTABLE_S, 0]
    monkeypatch.setattr(
        PauseWatch,
        'recent_pause_s',
        lambda _watch: pauses.pop(0),
    )
    deliver(1, 1)
    assert upstreams.sent == [1]


def test_a_pause_is_remembered_for_a_while():
    now_s = [0]
    watch = PauseWatch(lambda: now_s[0])
    now_s[0] = 8
    watch.tick()
    assert watch.recent_pause_s() == 8
    now_s[0] = 8.1
    watch.tick()
    assert watch.recent_pause_s() == 8
    for _ in range(10):
        now_s[0] += 0.1
        watch.tick()
    assert watch.recent_pause_s() == 0
