"""A response without Content-Length is incomplete if it is reset.

Eventlet's socket reports a reset as the end of the connection.
"""

from __future__ import annotations

import subprocess  # noqa: S404
import sys

import pytest

SCRIPT = r"""
import eventlet
eventlet.monkey_patch()
import socket, struct, sys
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import Address
from cowslipstep.serving._upstream_http import HttpRequest, open_response

listener = eventlet.listen(('127.0.0.1', 0))

def respond():
    sock, _ = listener.accept()
    sock.recv(1000)
    sock.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
    eventlet.sleep(0.2)
    if sys.argv[1] == 'reset':
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()

eventlet.spawn(respond)
address = Address('127.0.0.1', listener.getsockname()[1])
try:
    with open_response(HttpRequest(address, 'GET', '/', {}, b'', 5)) as reply:
        print(reply.read_all(10 ** 9))
except UpstreamFailure as failure:
    print(failure.verdict.code)
"""


@pytest.mark.parametrize(
    ('end', 'printed'),
    [('reset', 'may_have_run'), ('close', "b'part'")],
)
def test_reset_fails_a_response_and_close_ends_it(
    end: str, printed: str
) -> None:
    command = [sys.executable, '-W', 'ignore', '-c', SCRIPT, end]
    ran = subprocess.run(  # noqa: S603
        command,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    assert ran.stdout.strip() == printed
