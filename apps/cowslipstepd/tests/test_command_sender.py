"""What the keeper learns from the answers to its orders."""

from __future__ import annotations

import contextlib
import types

import eventlet
import pytest
from attrs import evolve

from cowslipstep.fleet import (
    CommandOutcome,
    DiscoveredRunner,
    GroupPosition,
    LeaveGroup,
    MemberState,
)
from cowslipstep.model import Address
from cowslipstep.serving import _command_sender

KEY = ('g1', 1)
HEAD = DiscoveredRunner(
    name='r0',
    service='drafting',
    address=Address('127.0.0.1', 1),
    failure_domain='north',
    slots=9,
    group_position=GroupPosition(*KEY, 0, MemberState.ready),
)
MEMBER = evolve(HEAD, group_position=GroupPosition(*KEY, 1, MemberState.ready))


class Orders:
    """The dialect of orders; each answer is the outcome itself."""

    order_path = '/order'

    def headers(self, _runner) -> dict[str, str]:
        """Return no headers."""
        return {}

    def body(self, _order, _fence) -> bytes:
        """Return no body."""
        return b''

    def outcome(self, status: CommandOutcome) -> CommandOutcome:
        """Return what the runner said."""
        return status


@pytest.mark.parametrize(
    ('member', 'outcome', 'left'),
    [
        (HEAD, CommandOutcome.accepted, {KEY}),
        (HEAD, CommandOutcome.unknown, set()),
        (HEAD, CommandOutcome.outdated, set()),
        (MEMBER, CommandOutcome.accepted, set()),
    ],
)
def test_head_has_left_once_it_says_so(monkeypatch, member, outcome, left):
    answer = types.SimpleNamespace(status=outcome)
    monkeypatch.setattr(
        _command_sender,
        'open_answer',
        lambda _exchange: contextlib.nullcontext(answer),
    )
    state = types.SimpleNamespace(
        dialects=types.SimpleNamespace(orders=Orders()),
    )
    sender = _command_sender.CommandSender(state, lambda: True)
    sender.carry_out(LeaveGroup(KEY, member), 7)
    eventlet.sleep(0)
    assert sender.left == left
