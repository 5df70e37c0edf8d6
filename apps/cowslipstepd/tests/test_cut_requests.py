"""Callers close their side of a connection within a request."""

from __future__ import annotations

import socket

import eventlet
from _callers import Caller
from _green_processes import in_green_process
from _scripted_runners import ScriptedRunners, Send, response
from _serving_harness import Harness

HEAD = (
    b'POST /once/a HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: r\r\n'
    b'Content-Length: 20\r\n\r\n'
)
CUT_BODY = b'%b{}' % HEAD


def runs_of_cut_requests(*requests: bytes) -> list[tuple[int, int]]:
    """Return the statuses of requests that are cut, and their runs."""
    return list(map(run_of_cut_request, requests))


def run_of_cut_request(request: bytes) -> tuple[int, int]:
    runners = ScriptedRunners(1, (Send(response(b'done')),))
    harness = Harness(runners, runners)
    sock = eventlet.connect(harness.callers_address)
    sock.sendall(request)
    sock.shutdown(socket.SHUT_WR)
    return Caller(sock).receive().status, len(runners.heads)


# A runner ran a request with a part of its body, framed as whole.
def test_request_cut_in_its_body_does_not_run() -> None:
    ended = in_green_process(runs_of_cut_requests, HEAD, CUT_BODY)
    assert ended == [(400, 0), (400, 0)]


# A runner ran a request without a body, as the end of its head was missing.
def test_request_cut_in_its_head_does_not_run() -> None:
    cut_heads = [HEAD[:cut] for cut in range(1, len(HEAD))]
    ended = in_green_process(runs_of_cut_requests, *cut_heads)
    assert {runs for _, runs in ended} == {0}
