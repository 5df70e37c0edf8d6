"""What a server for callers does with connections at its end."""

from __future__ import annotations

import eventlet
from eventlet.green import socket

from cowslipstep.daemon._caller_server import CallerServer

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
ON_ITS_WAY_S = 0.05
GRACE_S = 3


def answer(_environ, start_response):
    start_response('200 OK', [('Content-Length', '2')])
    return [b'ok']


def test_request_at_the_end_is_answered():
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, answer, bool)
    server.start()
    caller = socket.create_connection(listener.getsockname()[:2])
    caller.sendall(REQUEST[:10])
    server.close()
    eventlet.spawn_after(ON_ITS_WAY_S, caller.sendall, REQUEST[10:])
    assert server.wait_finished(GRACE_S)
    caller.setblocking(False)
    assert b'200 OK' in caller.recv(1000)


def test_idle_connection_is_closed_before_the_end():
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, answer, bool)
    server.start()
    caller = socket.create_connection(listener.getsockname()[:2])
    caller.sendall(REQUEST.replace(b'Connection: close\r\n', b''))
    assert b'200 OK' in caller.recv(1000)
    server.close()
    assert server.wait_finished(GRACE_S)
    caller.setblocking(False)
    assert caller.recv(1000) == b''


def test_server_without_time_does_not_wait():
    listener = eventlet.listen(('127.0.0.1', 0))
    server = CallerServer(listener, answer, bool)
    server.start()
    server.close()
    assert not server.wait_finished(0)
