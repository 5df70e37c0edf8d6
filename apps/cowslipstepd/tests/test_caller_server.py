"""While it stops, a caller server completes requests, then disconnects."""

from __future__ import annotations

import eventlet
from eventlet.green import socket

from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._hangup import raise_on_hangup

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
SECOND_PART_DELAY_S = 0.05
RESPONSE_DELAY_S = 0.05
STOP_TIMEOUT_S = 3


def respond(environ, start_response):
    with raise_on_hangup(environ):
        eventlet.sleep(RESPONSE_DELAY_S)
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


def test_request_sent_during_close_is_answered():
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, respond, bool)
    server.start()
    caller = socket.create_connection(listener.getsockname()[:2])
    caller.sendall(REQUEST[:10])
    server.close()
    eventlet.spawn_after(SECOND_PART_DELAY_S, caller.sendall, REQUEST[10:])
    assert server.wait_finished(STOP_TIMEOUT_S)
    caller.setblocking(False)
    assert b'200 OK' in caller.recv(1000)


# A request that arrived while idle connections were closed got no response.
def test_request_crossing_the_close_is_answered(monkeypatch):
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, respond, bool)
    server.start()
    caller = socket.create_connection(listener.getsockname()[:2])
    caller.sendall(REQUEST.replace(b'Connection: close\r\n', b''))
    assert b'200 OK' in caller.recv(1000)
    server.close()
    requests = iter((REQUEST,))

    def send_after_wait(duration_s):  # noqa: WPS430
        eventlet.sleep(duration_s)
        # The plain socket sends without a switch to the server's tasks.
        caller.fd.sendall(next(requests, b''))

    monkeypatch.setattr(
        'cowslipstep.daemon._caller_server.sleep', send_after_wait
    )
    assert server.wait_finished(STOP_TIMEOUT_S)
    caller.setblocking(False)
    assert b'200 OK' in caller.recv(1000)


def test_idle_connection_is_closed_on_stop():
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, respond, bool)
    server.start()
    caller = socket.create_connection(listener.getsockname()[:2])
    caller.sendall(REQUEST.replace(b'Connection: close\r\n', b''))
    assert b'200 OK' in caller.recv(1000)
    server.close()
    assert server.wait_finished(STOP_TIMEOUT_S)
    caller.setblocking(False)
    assert caller.recv(1000) == b''


def test_wait_without_timeout_returns_at_once():
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, respond, bool)
    server.start()
    server.close()
    assert not server.wait_finished(0)
