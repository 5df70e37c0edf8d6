"""Requests without an end, or in small pieces, hold no other caller."""

from __future__ import annotations

import contextlib
import time
from typing import Any

import eventlet
import pytest
from _green_processes import in_green_process
from _pauses import watch_pauses
from attrs import frozen

from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._http import JsonResponse, send_json
from cowslipstep.daemon._request_bodies import read_body
from cowslipstep.model import RequestError

HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
PIECE = b'1\r\nx\r\n'
PIECES_AT_ONCE = 10000
LAST_CHUNK = b'0\r\n\r\n'
MAX_BODY_BYTES = 400000
# What a discarded rest may take, and as much again for the machine.
MAX_END_S = 5
MAX_PAUSE_S = 0.25
# Longer than the rest of a refused request is discarded.
AFTER_DISCARD_S = 1.2


@frozen
class Ended:
    """How a connection ended.

    Parameters
    ----------
    status_line
        First line of the response.
    elapsed_s
        Time until the connection was closed.
    longest_pause_s
        Longest time for which no task could run.
    """

    status_line: bytes
    elapsed_s: float
    longest_pause_s: float


def respond(environ, start_response):
    try:
        body = read_body(environ, MAX_BODY_BYTES)
    except RequestError as error:
        return send_json(start_response, JsonResponse(error.status, {}))
    return send_json(start_response, JsonResponse(200, {'size': len(body)}))


def statuses_on_kept_connection() -> list[bytes]:
    """Return the responses to a body that is too long, and to a later one."""
    listener = eventlet.listen(('127.0.0.1', 0))
    CallerServer(listener, respond, bool).start()
    caller = eventlet.connect(listener.getsockname()[:2])
    too_long = b'%x\r\n%b\r\n' % (
        MAX_BODY_BYTES + 1,
        b'x' * (MAX_BODY_BYTES + 1),
    )
    received = []
    for body in (too_long, PIECE):
        caller.sendall(HEAD + body + LAST_CHUNK)
        received.append(caller.recv(10000).partition(b'\r\n')[0])
        eventlet.sleep(AFTER_DISCARD_S)
    return received


# The limits on the rest of a refused request applied to all later ones.
def test_request_after_a_refused_one_is_served() -> None:
    refused, served = in_green_process(statuses_on_kept_connection)
    assert b' 413 ' in refused
    assert b' 200 ' in served


def send_all(sock: Any, repeated: bytes, times: int) -> None:
    with contextlib.suppress(OSError):
        for _ in range(times):
            sock.sendall(repeated)
            eventlet.sleep(0)


def ended(start: bytes, repeated: bytes, times: int, end: bytes) -> Ended:
    listener = eventlet.listen(('127.0.0.1', 0))
    CallerServer(listener, respond, bool).start()
    pauses = watch_pauses()
    caller = eventlet.connect(listener.getsockname()[:2])
    caller.sendall(start)
    began_s = time.monotonic()
    send_all(caller, repeated, times)
    send_all(caller, end, 1)
    # Until here the daemon has read, or closed the connection.
    elapsed_s = time.monotonic() - began_s
    return Ended(first_line(caller), elapsed_s, max(pauses))


def first_line(caller: Any) -> bytes:
    with contextlib.suppress(OSError):
        return caller.makefile('rb').readline()
    return b''


# Pieces of one byte that had arrived were gathered without a wait.
def test_body_in_small_pieces_holds_no_other() -> None:
    seen = in_green_process(ended, HEAD, PIECE * MAX_BODY_BYTES, 1, LAST_CHUNK)
    assert b'200' in seen.status_line
    assert seen.longest_pause_s < MAX_PAUSE_S


# The rest of a refused body was read and discarded for as long as it went on,
# and a line within a body had no limit.
@pytest.mark.parametrize('repeated', [PIECE * PIECES_AT_ONCE, b'a' * 60000])
def test_request_without_end_is_refused(repeated: bytes) -> None:
    seen = in_green_process(ended, HEAD, repeated, 1000000, b'')
    # An unread rest may reset the connection before the response is read.
    assert b' 4' in seen.status_line or not seen.status_line
    assert seen.elapsed_s < MAX_END_S
    assert seen.longest_pause_s < MAX_PAUSE_S
