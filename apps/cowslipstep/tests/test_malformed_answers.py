"""The tool takes no malformed response of a daemon or engine for an answer."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from cowslipstep.cli._daemons import query_daemons
from cowslipstep.cli._hosts import query_host
from cowslipstep.cli._request_counts import read_request_counts
from cowslipstep.metrics import DaemonIdentity
from cowslipstep.model import Address, Runner

BODY = b'{"ready": true, "version": 3, "state": "ready", "group": "g"}'
RESPONSE = b'HTTP/1.1 200 OK\r\n%b\r\n\r\n%b'
LENGTH = b'Content-Length: %d' % len(BODY)
MALFORMED = (
    RESPONSE % (b'X Y: z\r\n%b' % LENGTH, BODY),
    RESPONSE % (b'Content-Length; 3', BODY),
    RESPONSE % (b'Content-Length: 6O', BODY),
    RESPONSE % (b'%b\r\nTransfer-Encoding: chunked' % LENGTH, BODY),
    RESPONSE % (b'Transfer-Encoding: chunked', b'3d\r\n%bxx0\r\n\r\n' % BODY),
    b'HTTP/1.1 000 OK\r\n%b\r\n\r\n%b' % (LENGTH, BODY),
)


@contextlib.contextmanager
def responding(sent: bytes) -> Iterator[Address]:
    """Serve one response to each of the next connections."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=_respond, args=(listener, sent), daemon=True
        ).start()
        yield Address(*listener.getsockname())
        # Ends the wait for the next connection.
        listener.shutdown(socket.SHUT_RDWR)


def _respond(listener: socket.socket, sent: bytes) -> None:
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            with connection:
                connection.recv(len(BODY) * len(BODY))
                connection.sendall(sent)


def answers(sent: bytes) -> tuple[bool, str, int]:
    """Return what the tool makes of a response to each of its queries."""
    with responding(sent) as address:
        daemon = DaemonIdentity('d0', 1, 'north', str(address))
        states = query_daemons([daemon])
        host = query_host(Runner('h', address, 'north', 'fabric'))
        counts = read_request_counts([str(address)])
    return states[0].reachable, host.state, counts.answered


@pytest.mark.parametrize('sent', MALFORMED)
def test_malformed_response_is_no_answer(sent: bytes) -> None:
    assert answers(sent) == (False, '', 0)


def test_sound_response_is_an_answer() -> None:
    assert answers(RESPONSE % (LENGTH, BODY)) == (True, 'ready', 1)
