"""What callers get on each path that reads a response of an upstream."""

from __future__ import annotations

import contextlib
import types
from collections.abc import Callable, Mapping
from typing import Any

from _scripted_runners import Close, Script, ScriptedRunners, Send
from _serving_harness import PLAIN, ROUTES, Harness
from attrs import evolve
from urllib3.connection import HTTPConnection

from cowslipstep.daemon import (
    _cached_prefixes,
    _commands,
    _health_calls,
    _upstream,
)
from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import CommandOutcome, DiscoveredRunner
from cowslipstep.groups import ReleaseCommand
from cowslipstep.model import Address, Runner
from cowslipstep.platform import (
    CallHooks,
    PlatformClient,
    PlatformUnavailable,
)
from cowslipstep.serving import _command_sender, _report_probe

_ONCE = evolve(ROUTES[1], max_attempts=1)
BODY = (
    b'{"host": "h", "group": "", "state": "idle", "model": "",'
    b' "running": 0, "waiting": 0}'
)
_REST = b'Content-Length: %d\r\nSignature: s\r\n\r\n%b' % (len(BODY), BODY)
COMPLETE = 'complete'
# What callers get in place of a response. A 502 says that the request may have
# run.
NO_RESPONSE = types.MappingProxyType(
    {
        'requests': {'502'},
        'own requests': {'may_have_run'},
        'health': {
            'BadStatusLine',
            'IncompleteRead',
            'MalformedResponse',
            'RemoteDisconnected',
        },
        'host commands': {'no report'},
        'report probes': {'may_have_run'},
        'commands': {'may_have_run'},
        'store': {'may_have_run'},
        'cache events': {'ProtocolError'},
    }
)


class Commands:
    """Encodes calls to runners; every response of status 200 accepts."""

    report_path = '/report'
    command_path = '/order'

    def headers(self, _runner: DiscoveredRunner) -> dict[str, str]:
        """Return no headers."""
        return {}

    def body(self, _command: Any, _fencing_token: int) -> bytes:
        """Return no body."""
        return b'{}'

    def outcome(self, status: int) -> CommandOutcome:
        """Return the outcome that a status stands for."""
        if status == 200:
            return CommandOutcome.accepted
        return CommandOutcome.unknown


def _serve(address: Address) -> str:
    runners = types.SimpleNamespace(addresses=[address])
    harness = Harness(runners, runners)
    harness.configure(*ROUTES, _ONCE)
    status = harness.exchange(_ONCE).status
    return COMPLETE if status == 200 else str(status)


def _own_path(address: Address) -> str:
    call = _upstream.UpstreamCall(address, 'GET', '/', b'')
    with _upstream.open_call(call) as response:
        b''.join(response.read_chunks())
        return COMPLETE if response.status == 200 else str(response.status)


def _health(address: Address) -> str:
    connection = HTTPConnection(address.ip, address.port, timeout=1)
    with contextlib.closing(connection):
        _health_calls.request_health(connection)
    return COMPLETE


def _host_command(address: Address) -> str:
    reports: list[Any] = []
    prober = types.SimpleNamespace(record=reports.append)
    authority = _commands.CommandAuthority(1, lambda: True)
    command = ReleaseCommand(Runner('h', address, 'north', 'fabric'))
    _commands.CommandSender(prober)._send(command, authority)
    return COMPLETE if reports else 'no report'


def _runner(address: Address) -> DiscoveredRunner:
    return DiscoveredRunner('r', PLAIN, address, 'north', 1)


def _report_probe_outcome(address: Address) -> str:
    _report_probe.probe_runner(Commands(), _runner(address))
    return COMPLETE


def _command(address: Address) -> str:
    dialects = types.SimpleNamespace(commands=Commands())
    state = types.SimpleNamespace(dialects=dialects)
    sender = _command_sender.CommandSender(state, lambda: True)
    sent = types.SimpleNamespace(runner=_runner(address), command=None)
    outcome = sender._request_outcome(sent, 1)
    return COMPLETE if outcome is CommandOutcome.accepted else outcome.value


def _store(address: Address) -> str:
    hooks = CallHooks(time_limit=call_time_limit)
    PlatformClient(address, hooks=hooks).read_document('hosts', '/hosts')
    return COMPLETE


def _prefixes(address: Address) -> str:
    _cached_prefixes._fetch_events(address)
    return COMPLETE


PATHS: Mapping[str, Callable[[Address], str]] = types.MappingProxyType(
    {
        'requests': _serve,
        'own requests': _own_path,
        'health': _health,
        'host commands': _host_command,
        'report probes': _report_probe_outcome,
        'commands': _command,
        'store': _store,
        'cache events': _prefixes,
    }
)


def seen(path: str, script: Script) -> str:
    """Return what the caller of a path gets from one response."""
    address = ScriptedRunners(1, script).addresses[0]
    try:
        return PATHS[path](address)
    except (UpstreamFailure, PlatformUnavailable) as failure:
        return failure.verdict.code
    except Exception as error:
        return type(error).__name__


def seen_of_heads(path: str, heads: tuple[bytes, ...]) -> list[str]:
    """Return what the caller gets for each of these beginnings."""
    return seen_of_responses(path, tuple(head + _REST for head in heads))


def seen_of_responses(path: str, responses: tuple[bytes, ...]) -> list[str]:
    """Return what the caller gets for each of these responses."""
    return [seen(path, (Send(sent), Close())) for sent in responses]


def passed_on(
    path: str, responses: tuple[bytes, ...]
) -> list[tuple[bytes, str]]:
    """Return the malformed responses of which the caller gets something."""
    got = seen_of_responses(path, responses)
    return [
        (sent, outcome)
        for sent, outcome in zip(responses, got, strict=True)
        if outcome not in NO_RESPONSE[path]
    ]


def seen_of_script(path: str, script: Script) -> str:
    """Return what the caller gets from a response that follows a script."""
    return seen(path, script)
