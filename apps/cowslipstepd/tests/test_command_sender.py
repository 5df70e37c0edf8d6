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
LEADER = DiscoveredRunner(
    name='r0',
    service='drafting',
    address=Address('127.0.0.1', 1),
    failure_domain='north',
    slots=9,
    group_position=GroupPosition(*KEY, 0, MemberState.ready),
)
MEMBER = evolve(
    LEADER, group_position=GroupPosition(*KEY, 1, MemberState.ready)
)


class Commands:
    """The dialect of orders; each answer is the outcome itself."""

    command_path = '/order'

    def headers(self, _runner) -> dict[str, str]:
        """Return no headers."""
        return {}

    def body(self, _command, _fence) -> bytes:
        """Return no body."""
        return b''

    def outcome(self, status: CommandOutcome) -> CommandOutcome:
        """Return what the runner said."""
        return status


@pytest.mark.parametrize(
    ('member', 'outcome', 'departed'),
    [
        (LEADER, CommandOutcome.accepted, {KEY}),
        (LEADER, CommandOutcome.unknown, set()),
        (LEADER, CommandOutcome.outdated, set()),
        (MEMBER, CommandOutcome.accepted, set()),
    ],
)
def test_head_has_left_once_it_says_so(monkeypatch, member, outcome, departed):
    response = types.SimpleNamespace(status=outcome)
    monkeypatch.setattr(
        _command_sender,
        'open_response',
        lambda _exchange: contextlib.nullcontext(response),
    )
    state = types.SimpleNamespace(
        dialects=types.SimpleNamespace(commands=Commands()),
    )
    sender = _command_sender.CommandSender(state, lambda: True)
    sender.carry_out(LeaveGroup(KEY, member), 7)
    eventlet.sleep(0)
    assert sender.departed == departed
