"""Commands to the engines on hosts."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Callable
from http.client import HTTPException
from typing import Any

import eventlet
import urllib3
from attrs import frozen
from loguru import logger

from cowslipstep.daemon._health_calls import parse_health
from cowslipstep.daemon._prober import Prober
from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.groups import AssignCommand, HostCommand, ReleaseCommand
from cowslipstep.platform import CheckedConnection

_COMMAND_TIMEOUT_S = 0.5
# Time for a command as a whole: to connect, and to read the response.
_COMMAND_LIMIT_S = 1
_MAX_HEALTH_BYTES = 1048576
_RESEND_PERIOD_S = 1
_MAX_CONCURRENT_COMMANDS = 16
_OK = 200
_COMMAND_ERRORS = (
    HTTPException,
    OSError,
    ValueError,
    urllib3.exceptions.HTTPError,
)


@frozen
class CommandAuthority:
    """Fencing token of the sender and the check that its lease is valid."""

    fencing_token: int
    may_send: Callable[[], bool]


class CommandSender:
    """Sends commands with the fencing token of the controller.

    Parameters
    ----------
    prober
        Records the health that hosts return in response to commands.
    """

    def __init__(self, prober: Prober) -> None:
        self._prober = prober
        self._sent_at_s: dict[str, float] = {}

    def send_all(
        self, commands: list[HostCommand], authority: CommandAuthority
    ) -> None:
        """Send commands, at most one to each host per resend period."""
        pool = eventlet.GreenPool(_MAX_CONCURRENT_COMMANDS)
        oldest_s = time.monotonic() - _RESEND_PERIOD_S
        for command in commands:
            if self._sent_at_s.get(command.runner.host, oldest_s) <= oldest_s:
                pool.spawn(self._send, command, authority)
        pool.waitall()

    def _send(self, command: HostCommand, authority: CommandAuthority) -> None:
        sent_at_s = time.monotonic()
        self._sent_at_s[command.runner.host] = sent_at_s
        try:
            health = _send_if_authorized(command, authority)
        except _COMMAND_ERRORS as error:
            host = command.runner.host
            logger.bind(host=host).warning(
                'command failed, sent again while it is due: {}', error
            )
            return
        if health is not None:
            self._prober.record(parse_health(health, sent_at_s))


def _send_if_authorized(
    command: HostCommand, authority: CommandAuthority
) -> dict[str, Any] | None:
    """Send a command and return the host's health after it.

    Returns ``None`` if the lease is no longer valid, so that nothing was sent,
    or if the host refused the command.
    """
    address = command.runner.address
    connection = CheckedConnection(
        address.ip,
        address.port,
        timeout=_COMMAND_TIMEOUT_S,
    )
    body = json.dumps({**_document(command), 'fence': authority.fencing_token})
    with contextlib.closing(connection), call_time_limit(_COMMAND_LIMIT_S):
        connection.connect()
        # Checked right before sending: the lease may have expired while the
        # process was paused or the connection was being opened.
        if not authority.may_send():
            return None
        connection.request('POST', '/orders', body=body, preload_content=False)
        response = connection.getresponse()
        health = response.read(_MAX_HEALTH_BYTES)
        return json.loads(health) if response.status == _OK else None


def _document(command: HostCommand) -> dict[str, Any]:
    match command:
        case AssignCommand(group=group):
            return {
                'order': 'assign',
                'group': group.name,
                'model': group.model,
                'members': group.members,
            }
        case ReleaseCommand():
            return {'order': 'release'}
