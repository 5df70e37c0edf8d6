"""Runners that respond by a script, and parts of their responses."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
from typing import Any

import eventlet
from attrs import frozen

from cowslipstep.model import Address

_RECEIVE_BYTES = 65536
_HEAD_END = b'\r\n\r\n'
_LENGTH = re.compile(rb'content-length: *(\d+)', re.IGNORECASE)
LAST_CHUNK = b'0\r\n\r\n'


@frozen
class Send:
    """Send these bytes."""

    sent: bytes


@frozen
class Pause:
    """Send nothing for this time, seconds."""

    duration_s: float


@frozen
class Close:
    """Close the connection in order."""


@frozen
class Reset:
    """Reset the connection."""


@frozen
class SendEndlessly:
    """Send these bytes again and again until the connection is closed."""

    sent: bytes
    pause_s: float = 0


Step = Send | SendEndlessly | Pause | Close | Reset
# A runner that has carried out all steps keeps the connection open.
Script = tuple[Step, ...]


class ScriptedRunners:
    """Runners of one service that follow one script for each request.

    The first request that reaches any of them gets the first script, and so
    on; the last script also serves all later requests.

    Parameters
    ----------
    count
        Number of runners.
    scripts
        One script for each request.
    harmful_script
        Script for each request whose head contains ``harmful``.
    """

    def __init__(
        self, count: int, *scripts: Script, harmful_script: Script = ()
    ) -> None:
        self.heads: list[bytes] = []
        self._harmful_script = harmful_script
        self._scripts = scripts
        self._connections: list[Any] = []
        self._listeners = [
            eventlet.listen(('127.0.0.1', 0)) for _ in range(count)
        ]
        for listener in self._listeners:
            eventlet.spawn(self._accept, listener)

    @property
    def addresses(self) -> list[Address]:
        """Where the runners listen."""
        return [
            Address(*listener.getsockname()[:2]) for listener in self._listeners
        ]

    def _accept(self, listener: Any) -> None:
        while True:
            connection, _ = listener.accept()
            self._connections.append(connection)
            eventlet.spawn(self._respond, connection)

    def _script(self, number: int) -> Script:
        if self._harmful_script and b'harmful' in self.heads[-1]:
            return self._harmful_script
        return self._scripts[number]

    def _respond(self, connection: Any) -> None:
        head = _read_request(connection)
        if not head:
            return
        number = min(len(self.heads), len(self._scripts) - 1)
        self.heads.append(head)
        with contextlib.suppress(OSError):
            for step in self._script(number):
                _carry_out(step, connection)


def response_head(*headers: str, status: str = '200 OK') -> bytes:
    """Return the head of a response that the runner has signed."""
    lines = (f'HTTP/1.1 {status}', 'Signature: s', *headers, '', '')
    return '\r\n'.join(lines).encode()


def response(body: bytes, *headers: str, status: str = '200 OK') -> bytes:
    """Return a signed response with its length."""
    length = f'Content-Length: {len(body)}'
    return response_head(length, *headers, status=status) + body


def refusal() -> bytes:
    """Return a response that states that the request did not run."""
    return response(b'busy', 'Not-Run: 1', status='503 Service Unavailable')


def chunk(payload: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b'id: %d\ndata: %d\n\n' % (number, number)


def _read_request(connection: Any) -> bytes:
    received = b''
    while not _is_whole(received):
        part = connection.recv(_RECEIVE_BYTES)
        if not part:
            return b''
        received += part
    return received.partition(_HEAD_END)[0]


def _is_whole(received: bytes) -> bool:
    head, end, body = received.partition(_HEAD_END)
    length = _LENGTH.search(head)
    expected = int(length.group(1)) if length else 0
    return bool(end) and len(body) >= expected


def _carry_out(step: Step, connection: Any) -> None:
    match step:
        case Send(sent):
            connection.sendall(sent)
        case SendEndlessly(sent, pause_s):
            while True:
                connection.sendall(sent)
                # Even without a pause, it must not occupy the process.
                eventlet.sleep(pause_s)
        case Pause(duration_s):
            eventlet.sleep(duration_s)
        case Close():
            connection.close()
        case Reset():
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()
