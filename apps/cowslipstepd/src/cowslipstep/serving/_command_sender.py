"""Sends the commands that carry out decisions of the controller."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import eventlet
from attrs import frozen
from loguru import logger

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import (
    CloseCommand,
    CloseGroup,
    CommandOutcome,
    DiscoveredRunner,
    FleetDecision,
    FormGroup,
    GroupCommand,
    GroupId,
    JoinCommand,
    LeaveCommand,
    LeaveGroup,
    OpenCommand,
    OpenGroup,
    StageCommand,
    StageModel,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_http import HttpRequest, open_response

# Limit for the response of a runner; the planner repeats a command whose
# effect does not show in time.
_RESPONSE_TIMEOUT_S = 1
# How long a confirmed departure is remembered. The entries of the runners show
# it sooner; as long as they do not, the command would be sent again.
_DEPARTED_LIFETIME_S = 60


@frozen
class _AddressedCommand:
    """A command, the runner that receives it, and the group that it ends."""

    runner: DiscoveredRunner
    command: GroupCommand
    ended_group: GroupId | None = None


class CommandSender:
    """Sends commands while the lease holds, each in a task of its own.

    Parameters
    ----------
    state
        State of the daemon.
    may_command
        Returns whether a command may be sent at this moment.
    """

    def __init__(
        self,
        state: ServingState,
        may_command: Callable[[], bool],
    ) -> None:
        self._state = state
        self._may_command = may_command
        self._departed_at_s: dict[GroupId, float] = {}

    @property
    def departed(self) -> frozenset[GroupId]:
        """Groups whose leader has confirmed lately that it left."""
        oldest_s = time.monotonic() - _DEPARTED_LIFETIME_S
        self._departed_at_s = {
            key: departed_at_s
            for key, departed_at_s in self._departed_at_s.items()
            if departed_at_s > oldest_s
        }
        return frozenset(self._departed_at_s)

    def carry_out(self, decision: FleetDecision, fencing_token: int) -> None:
        """Send the commands of a decision."""
        for addressed in _commands(decision):
            eventlet.spawn(self._send, addressed, fencing_token)

    def _send(self, addressed: _AddressedCommand, fencing_token: int) -> None:
        if not self._may_command():
            return
        try:
            outcome = self._request_outcome(addressed, fencing_token)
        except UpstreamFailure as failure:
            outcome = CommandOutcome.unknown
            logger.info(
                'no response to a command, outcome unknown: {}', failure
            )
        logger.bind(
            runner=addressed.runner.name,
            outcome=outcome.value,
            term=fencing_token,
        ).info('command finished: {}', addressed.command)
        if (
            outcome is CommandOutcome.accepted
            and addressed.ended_group is not None
        ):
            # A runner responds to a leave command once it has left.
            self._departed_at_s[addressed.ended_group] = time.monotonic()

    def _request_outcome(
        self, addressed: _AddressedCommand, fencing_token: int
    ) -> CommandOutcome:
        commands = self._state.dialects.commands
        http_request = HttpRequest(
            addressed.runner.address,
            'POST',
            commands.command_path,
            commands.headers(addressed.runner),
            commands.body(addressed.command, fencing_token),
            _RESPONSE_TIMEOUT_S,
        )
        with open_response(http_request) as response:
            return commands.outcome(response.status)


def _commands(decision: FleetDecision) -> Iterator[_AddressedCommand]:
    match decision:
        case FormGroup(key, model, members):
            names = tuple(member.name for member in members)
            join = JoinCommand(key, model, names)
            for joined in members:
                yield _AddressedCommand(joined, join)
        case OpenGroup(key, leader):
            yield _AddressedCommand(leader, OpenCommand(key))
        case CloseGroup(key, leader):
            yield _AddressedCommand(leader, CloseCommand(key))
        case LeaveGroup(key, member):
            group_position = member.group_position
            ended_group = (
                key if group_position and group_position.rank == 0 else None
            )
            yield _AddressedCommand(member, LeaveCommand(key), ended_group)
        case StageModel(runner, model):
            yield _AddressedCommand(runner, StageCommand(model))
