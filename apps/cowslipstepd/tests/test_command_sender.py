"""Departures that the controller derives from responses to commands."""

from __future__ import annotations

import contextlib
import types

import eventlet
import pytest
from attrs import evolve

from cowslipstep.fleet import (
    CommandOutcome,
    DiscoveredRunner,
    GroupId,
    GroupPosition,
    LeaveGroup,
    MemberState,
)
from cowslipstep.model import Address
from cowslipstep.serving import _command_sender

KEY = GroupId('drafting', 'g1', 1)
LEADER = DiscoveredRunner(
    name='r0',
    service='drafting',
    address=Address('127.0.0.1', 1),
    failure_domain='north',
    slots=9,
    group_position=GroupPosition(KEY.name, KEY.epoch, 0, MemberState.ready),
)
MEMBER = evolve(
    LEADER,
    group_position=GroupPosition(KEY.name, KEY.epoch, 1, MemberState.ready),
)


class Commands:
    """Encoding of commands in which the status is the outcome itself."""

    command_path = '/order'

    def headers(self, _runner) -> dict[str, str]:
        """Return no headers."""
        return {}

    def body(self, _command, _fencing_token) -> bytes:
        """Return no body."""
        return b''

    def outcome(self, status: CommandOutcome) -> CommandOutcome:
        """Return the status, which is the outcome."""
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
def test_group_departs_when_its_leader_accepts(
    monkeypatch, member, outcome, departed
):
    response = types.SimpleNamespace(status=outcome)
    monkeypatch.setattr(
        _command_sender,
        'open_response',
        lambda _request: contextlib.nullcontext(response),
    )
    state = types.SimpleNamespace(
        dialects=types.SimpleNamespace(commands=Commands()),
    )
    sender = _command_sender.CommandSender(state, lambda: True)
    sender.carry_out(LeaveGroup(KEY, member), 7)
    eventlet.sleep(0)
    assert sender.departed == departed
