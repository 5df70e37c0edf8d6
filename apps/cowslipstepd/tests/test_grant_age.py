"""A request is not sent upstream with a grant that is too old.

A grant may be used only for some seconds after it was issued or renewed.
After a pause of the process it may be older than it seems.
"""

from __future__ import annotations

import contextlib
import time
from typing import Any

import pytest
from attrs import define, field

from cowslipstep.daemon import _completion_sender
from cowslipstep.daemon._completion_requests import CompletionRequest
from cowslipstep.daemon._completion_delivery import CompletionDelivery
from cowslipstep.daemon._pause_detector import PauseDetector
from cowslipstep.daemon._relay import ResponseHead
from cowslipstep.daemon._slots import Slot
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import Address, Cell, Grant, Request
from cowslipstep.settings import DaemonSettings

STARTABLE_S = 5
VALID_S = 10
CELL = Cell('drafting', 'ebene')
REQUEST = Request('r1', 'firm', 'urgent', 'drafting')
CALLER = CompletionRequest(REQUEST, b'{}', '/v1/completions', False, '', None)
ANYWHERE = Address('127.0.0.1', 0)
SETTINGS = DaemonSettings('d0', 'ebene', ANYWHERE, ANYWHERE, ANYWHERE)


class Slots:
    """Issues grants of the given ages in seconds, one after the other."""

    def __init__(self, *ages_s: float) -> None:
        self._ages_s = list(enumerate(ages_s))

    @contextlib.contextmanager
    def hold_slot(self, _request, _avoided_groups):
        """Issue the next grant, each for an upstream port of its own."""
        port, age_s = self._ages_s.pop(0)
        renewed_at_s = time.monotonic() - age_s
        yield Slot(
            CELL, 'd1', grant_on(port), REQUEST, renewed_at_s=renewed_at_s
        )


def grant_on(port: int) -> Grant:
    address = Address('127.0.0.1', port)
    return Grant('r1', f'g{port}', address, VALID_S, STARTABLE_S)


@define
class Upstreams:
    """Upstreams that record the ports that the request was sent to."""

    sent: list[int] = field(factory=list)

    def relay(self, call, run):
        """Respond to a call as an upstream would."""
        self.sent.append(call.address.port)
        run.response_begun = True
        yield ResponseHead(200, 'text/plain', 2)
        yield b'ok'


@pytest.fixture
def upstreams(monkeypatch) -> Upstreams:
    recorder = Upstreams()
    monkeypatch.setattr(_completion_sender, 'relay_buffered', recorder.relay)
    return recorder


def deliver(*ages_s: float) -> None:
    not_used: Any = None
    slots: Any = Slots(*ages_s)
    state = DaemonState(SETTINGS, not_used)
    service = CompletionDelivery(state, slots, not_used)
    assert list(service.deliver(CALLER))[1:] == [b'ok']


def test_a_request_with_a_fresh_grant_is_sent(upstreams):
    deliver(STARTABLE_S - 1)
    assert upstreams.sent == [0]


def test_an_expired_grant_is_replaced(upstreams):
    deliver(STARTABLE_S + 1, 0)
    assert upstreams.sent == [1]


def test_a_recent_pause_adds_to_the_age(upstreams, monkeypatch):
    pauses = [STARTABLE_S, 0]
    monkeypatch.setattr(
        PauseDetector,
        'recent_pause_s',
        lambda _detector: pauses.pop(0),
    )
    deliver(1, 1)
    assert upstreams.sent == [1]


def test_a_pause_is_reported_for_a_while_after_it():
    now_s = [0]
    detector = PauseDetector(lambda: now_s[0])
    now_s[0] = 8
    detector.tick()
    assert detector.recent_pause_s() == 8
    now_s[0] = 8.1
    detector.tick()
    assert detector.recent_pause_s() == 8
    for _ in range(10):
        now_s[0] += 0.1
        detector.tick()
    assert detector.recent_pause_s() == 0
