"""Callers close their side of a connection within a request."""

from __future__ import annotations

import socket

import eventlet
from _callers import Caller
from _green_processes import in_green_process
from _scripted_runners import ScriptedRunners, Send, response
from _serving_harness import Harness

CUT_REQUEST = (
    b'POST /once/a HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: r\r\n'
    b'Content-Length: 20\r\n\r\n{}'
)


def runs_of_cut_request() -> tuple[int, int]:
    """Return the status of a request cut in its body, and its runs."""
    runners = ScriptedRunners(1, (Send(response(b'done')),))
    harness = Harness(runners, runners)
    sock = eventlet.connect(harness.callers_address)
    sock.sendall(CUT_REQUEST)
    sock.shutdown(socket.SHUT_WR)
    return Caller(sock).receive().status, len(runners.heads)


# A runner ran a request with a part of its body, framed as whole.
def test_request_cut_in_its_body_does_not_run() -> None:
    assert in_green_process(runs_of_cut_request) == (400, 0)
