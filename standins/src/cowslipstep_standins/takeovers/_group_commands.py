"""Commands to runners, each join of which is checked against TWO.

A runner must not take a join of another group while the head of its own is
open or closing.
"""

from __future__ import annotations

import types
from typing import Any

import eventlet
from cowslipstep_standins.takeovers._grouped_runner import GroupedRunner
from cowslipstep_standins.takeovers._grouped_runners import GroupedRunners
from attrs import define, field, frozen

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import (
    CloseCommand,
    CommandOutcome,
    DiscoveredRunner,
    GroupCommand,
    GroupId,
    JoinCommand,
    LeaveCommand,
    MemberState,
    OpenCommand,
)
from cowslipstep.model import MayHaveRun, Reason

_FOLLOWING = types.MappingProxyType(
    {
        MemberState.joining: MemberState.ready,
        MemberState.ready: MemberState.open,
    }
)
JOIN_S = 0.2
OPEN_S = 0.3
_MAX_LATE_S = 3
_RESPONSE_DELAYS_S = (0, 0.1)
_DONE = 200
_ACCEPTED = 202
_UNFIT = 409
_OUTDATED = 412


@define
class GroupCommands:
    """Carries out commands.

    Attributes
    ----------
    runners
        The runners.
    late_share
        Share of the commands that get no response and are carried out late.
    broken
        Joins that broke the rule.
    opened
        Number of times that a group was opened.
    """

    runners: GroupedRunners
    late_share: float = 0
    broken: list[str] = field(factory=list)
    opened: int = 0

    def respond(self, number: int, command: GroupCommand, token: int) -> int:
        """Return the status of a command, or carry it out late."""
        runner = self.runners.lives[f'i-{number}']
        if self.runners.chance.random() < self.late_share:
            delay_s = self.runners.chance.uniform(0, _MAX_LATE_S)
            eventlet.spawn_after(delay_s, self.take, runner, command, token)
            raise UpstreamFailure(MayHaveRun(Reason.upstream_timeout), 'late')
        eventlet.sleep(self.runners.chance.choice(_RESPONSE_DELAYS_S))
        return self.take(runner, command, token)

    def take(
        self, runner: GroupedRunner, command: GroupCommand, token: int
    ) -> int:
        """Carry out a command; return the status of its response."""
        if runner.is_gone or token < runner.fencing_token:
            return _OUTDATED
        runner.fencing_token = token
        match command:
            case JoinCommand(group, _, members):
                return self._join(runner, group, members)
            case OpenCommand() | CloseCommand() | LeaveCommand():
                return self._change(runner, command)
        return _UNFIT

    def _change(
        self,
        runner: GroupedRunner,
        command: OpenCommand | CloseCommand | LeaveCommand,
    ) -> int:
        if not runner.is_in(command.group.epoch):
            return _UNFIT
        match command:
            case OpenCommand(group) if runner.is_ready_head:
                self.opened += 1
                eventlet.spawn_after(
                    OPEN_S, self._follow, runner, group, MemberState.ready
                )
            case CloseCommand(group) if runner.is_serving:
                self._enter(runner, group, MemberState.ready)
            case LeaveCommand():
                runner.position = None
                self.runners.report(runner)
            case _:
                return _UNFIT
        return _ACCEPTED

    def _join(
        self, runner: GroupedRunner, group: GroupId, members: tuple[str, ...]
    ) -> int:
        if group.epoch < runner.epoch:
            return _OUTDATED
        if runner.is_in(group.epoch):
            return _DONE
        if self._would_break(runner):
            self.broken.append(f'{runner.name} joins {group.name}')
        runner.epoch = group.epoch
        runner.members = members
        self._enter(runner, group, MemberState.joining)
        eventlet.spawn_after(
            JOIN_S, self._follow, runner, group, MemberState.joining
        )
        return _ACCEPTED

    def _would_break(self, runner: GroupedRunner) -> bool:
        at = runner.position
        if at is None:
            return False
        head = self.runners.lives[runner.members[0]]
        return head.is_serving and head.is_in(at.epoch)

    def _follow(
        self, runner: GroupedRunner, group: GroupId, former: MemberState
    ) -> None:
        """Enter the state that follows one, if the runner is still in it."""
        at = runner.position
        if at and runner.is_in(group.epoch) and at.state is former:
            self._enter(runner, group, _FOLLOWING[former])

    def _enter(
        self, runner: GroupedRunner, group: GroupId, state: MemberState
    ) -> None:
        runner.enter(group, state)
        self.runners.report(runner)


@frozen
class CommandEncoding:
    """Passes commands to the runners as they are."""

    sent: list[tuple[GroupCommand, int]] = field(factory=list)
    command_path: str = '/command'

    def headers(self, _runner: DiscoveredRunner) -> dict[str, str]:
        """Return no headers."""
        return {}

    def body(self, command: GroupCommand, token: int) -> bytes:
        """Return the number of the command."""
        self.sent.append((command, token))
        return str(len(self.sent) - 1).encode()

    def outcome(self, status: int) -> CommandOutcome:
        """Return the outcome that a status stands for."""
        if status <= _ACCEPTED:
            return CommandOutcome.accepted
        return CommandOutcome.unfit

    def carry_out(self, commands: GroupCommands, request: Any) -> Any:
        """Return the response of the addressed runner."""
        command, token = self.sent[int(request.body)]
        status = commands.respond(request.address.port, command, token)
        return types.SimpleNamespace(status=status)
