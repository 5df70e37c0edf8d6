"""Plain encoding of commands to runners."""

from __future__ import annotations

import json
from typing import Any

from cowslipstep.fleet import (
    CloseCommand,
    CommandOutcome,
    DiscoveredRunner,
    GroupCommand,
    GroupId,
    JoinCommand,
    LeaveCommand,
    OpenCommand,
    StageCommand,
)
from cowslipstep_standins.takeovers._grouped_runner import MODEL, SERVICE

_MAX_ACCEPTED = 202


class PlainCommands:
    """Encodes commands to runners as JSON objects."""

    command_path = '/command'
    report_path = '/report'

    def headers(self, _runner: DiscoveredRunner) -> dict[str, str]:
        """Return no headers: each runner has a port of its own."""
        return {}

    def body(self, command: GroupCommand, fencing_token: int) -> bytes:
        """Encode a command with the fencing token of the lease."""
        document = {'token': fencing_token, **_fields(command)}
        return json.dumps(document).encode()

    def outcome(self, status: int) -> CommandOutcome:
        """Return the outcome that a status stands for."""
        if status <= _MAX_ACCEPTED:
            return CommandOutcome.accepted
        return CommandOutcome.unfit


def decode_command(document: Any) -> GroupCommand:
    """Return the command that a JSON document holds."""
    group = GroupId(SERVICE, document['group'], document['epoch'])
    match document['operation']:
        case 'join':
            return JoinCommand(group, MODEL, tuple(document['members']))
        case 'open':
            return OpenCommand(group)
        case 'close':
            return CloseCommand(group)
        case 'leave':
            return LeaveCommand(group)
    return StageCommand(MODEL)


def _fields(command: GroupCommand) -> dict[str, Any]:
    match command:
        case JoinCommand(group, _, members):
            return {**_group_fields('join', group), 'members': members}
        case OpenCommand(group):
            return _group_fields('open', group)
        case CloseCommand(group):
            return _group_fields('close', group)
        case LeaveCommand(group):
            return _group_fields('leave', group)
        case StageCommand():
            return {'operation': 'stage', 'group': '', 'epoch': 0}


def _group_fields(operation: str, group: GroupId) -> dict[str, Any]:
    return {
        'operation': operation,
        'group': group.name,
        'epoch': group.epoch,
    }
