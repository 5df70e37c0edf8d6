"""What the connections of callers hold is charged and released."""

from __future__ import annotations

from typing import Any

import eventlet
import pytest
from _green_processes import in_green_process

from cowslipstep.daemon._caller_memory import CallerMemory
from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._connection_limits import ConnectionLimits
from cowslipstep.daemon._held_responses import HeldResponse
from cowslipstep.daemon._http import JsonResponse, send_json
from cowslipstep.daemon._request_bodies import read_body
from cowslipstep.memory import ByteLimits
from cowslipstep.model import RequestError

LIMITS = ByteLimits(400_000, 300_000)
MAX_BODY_BYTES = 1_000_000
BODY = b'x' * 200_000
SIZED = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s'
SHORT = SIZED % (len(BODY) + 1, BODY)
WHOLE = SIZED % (len(BODY), BODY)
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nX-Filler: %s\r\n' % (b'x' * 5000)
LONG_HEAD = HEAD + b'X-More: %s\r\n' % (b'x' * 6000) * 2
END = b'Content-Length: 0\r\n\r\n'
CHUNKED = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
# After this time a holder without progress may lose.
STALLED_S = 2.3
RESPONSE_BYTES = 250_000


def response_to(environ) -> bytes:
    body = read_body(environ, MAX_BODY_BYTES)
    with HeldResponse() as held:
        held.add(b'x' * RESPONSE_BYTES if b'large' in body else b'ok')
        return bytes(held)


def respond(environ, start_response):
    try:
        response = response_to(environ)
    except RequestError as error:
        return send_json(start_response, JsonResponse(error.status, {}))
    start_response('200 OK', [('Content-Length', str(len(response)))])
    return [response]


class Server:
    """A server whose callers may hold little."""

    def __init__(self) -> None:
        self.memory = CallerMemory(lambda: LIMITS)
        self.listener = eventlet.listen(('127.0.0.1', 0))
        limits = ConnectionLimits(max_head_bytes=16384)
        server = CallerServer(self.listener, respond, bool, lambda: limits)
        server.connections.memory = self.memory
        server.start()

    def send(self, sent: bytes) -> Any:
        """Return a connection on which these bytes were sent."""
        caller = eventlet.connect(self.listener.getsockname()[:2])
        caller.settimeout(5)
        caller.sendall(sent)
        eventlet.sleep(0.1)
        return caller

    def status(self, sent: bytes) -> bytes:
        """Return the status line of the response."""
        return status_line(self.send(sent))


def status_line(caller: Any) -> bytes:
    return caller.recv(1000).partition(b'\r\n')[0]


def held_while_open_and_closed(sent: bytes) -> tuple[int, int]:
    server = Server()
    caller = server.send(sent)
    held_bytes = server.memory.held_bytes
    caller.close()
    eventlet.sleep(0.2)
    return held_bytes, server.memory.held_bytes


# A budget that leaks refuses everybody.
@pytest.mark.parametrize(
    ('sent', 'least_held'),
    [
        (SHORT, 200_000),
        (HEAD, 5000),
        (b'%s%s' % (CHUNKED, b'1\r\nx\r\n' * 3000), 3000),
        (b'%sffff\r\n%s' % (CHUNKED, BODY[:60000]), 60000),
        (WHOLE, 0),
    ],
)
def test_what_arrived_is_charged_until_the_end(
    sent: bytes, least_held: int
) -> None:
    open_bytes, closed_bytes = in_green_process(
        held_while_open_and_closed, sent
    )
    # Up to 1 kB is charged together with later bytes. The framing of chunks is
    # not held.
    assert least_held - 1024 <= open_bytes < least_held + 10_000
    assert not closed_bytes


def refused_and_served() -> tuple[bytes, list[bytes], str]:
    server = Server()
    stalled = server.send(SHORT)
    eventlet.sleep(STALLED_S)
    served = [server.status(WHOLE) for _ in range(2)]
    return status_line(stalled), served, ''.join(server.memory.render())


# Bodies that stopped short of their end held their memory for a minute.
def test_a_stalled_body_is_refused() -> None:
    refused, served, metrics = in_green_process(refused_and_served)
    assert b' 503 ' in refused
    assert all(b' 200 ' in line for line in served)
    assert 'memory_losses_total{phase="receiving"} 1' in metrics


def heads() -> list[bytes]:
    server = Server()
    return [server.status(HEAD + END), server.status(LONG_HEAD + END)]


def test_a_head_over_the_limit_is_refused() -> None:
    served, refused = in_green_process(heads)
    assert b' 200 ' in served
    assert b' 400 ' in refused


def bad_chunks() -> list[bytes]:
    server = Server()
    return [
        server.status(b'%s%s\r\nx\r\n0\r\n\r\n' % (CHUNKED, size))
        for size in (b'z', b'-1', b'+1', b'0x1', b'')
    ]


# A chunk whose size is no number got status 500, which says may have run.
def test_a_chunk_without_a_size_is_invalid() -> None:
    assert all(b' 400 ' in line for line in in_green_process(bad_chunks))


def unread_response() -> tuple[int, int, bytes]:
    server = Server()
    large = SIZED % (5, b'large')
    caller = server.send(large)
    received = bytearray()
    while len(received) < RESPONSE_BYTES:
        received += caller.recv(100_000)
    eventlet.sleep(0.1)
    return len(received), server.memory.held_bytes, server.status(large)


# The response was charged a second time when it was sent.
def test_a_whole_response_is_charged_once() -> None:
    received_bytes, held_bytes, later = in_green_process(unread_response)
    assert received_bytes > RESPONSE_BYTES
    assert not held_bytes
    assert b' 200 ' in later
