"""Responses of faulty upstreams end in time and within bounded memory.

Each case sends bytes that are no response, or that never end, and has to fail
with the verdict that the request may have run. A second, late copy of a
response must not reach the next request.
"""

from __future__ import annotations

import json
import subprocess  # noqa: S404
import sys

import pytest

# Prints for each case the verdict, the seconds until it came, and the growth of
# memory in megabytes.
ENDLESS_SCRIPT = r"""
import eventlet
eventlet.monkey_patch()
import itertools, json, resource, time
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import Address
from cowslipstep.serving._upstream_http import HttpRequest, open_response

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CASES = {
    'no HTTP': (b'\x00\x01\r\nx\r\n\r\n', None),
    'slow status line': (b'', b'H'),
    'slow informational heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'slow headers': (HEAD, b'X-A: 1\r\n'),
    'slow chunk size': (CHUNKED, b'1'),
    'slow trailer': (CHUNKED + b'0\r\n', b'A: b\r\n'),
    'slow body': (HEAD + b'\r\n', b'x'),
    'fast informational heads': (b'', 999 * b'HTTP/1.1 100 C\r\n\r\n'),
    'fast headers': (HEAD, b'X: ' + b'y' * 40000 + b'\r\n'),
    'fast chunk size': (CHUNKED, b'1' * 60000),
    'fast chunk extension': (CHUNKED, b'1;' + b'a' * 60000),
    'fast trailer': (CHUNKED + b'0\r\n', 999 * b'A: b\r\n'),
    'fast body': (HEAD + b'\r\n', b'x' * 65536),
    'fast chunks': (CHUNKED, b'10000\r\n' + b'x' * 65536 + b'\r\n'),
}

def respond(listener, start, repeated, period_s):
    sock, _ = listener.accept()
    sock.recv(1000)
    try:
        sock.sendall(start)
        while repeated:
            sock.sendall(repeated)
            eventlet.sleep(period_s)
    except OSError:
        pass
    sock.close()

def verdict(start, repeated, period_s):
    listener = eventlet.listen(('127.0.0.1', 0))
    eventlet.spawn(respond, listener, start, repeated, period_s)
    address = Address('127.0.0.1', listener.getsockname()[1])
    request = HttpRequest(address, 'GET', '/', {}, b'', 0.5)
    try:
        with open_response(request) as response:
            response.read_all(time.monotonic() + 0.5)
    except UpstreamFailure as failure:
        return failure.verdict.code
    except Exception as error:
        return repr(error)
    return 'complete'

def peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

outcomes = {}
for name, (start, repeated) in CASES.items():
    before_mb, began_s = peak_mb(), time.monotonic()
    with eventlet.Timeout(20, False):
        outcomes[name] = 'endless', 20, 0
        code = verdict(start, repeated, 0.02 if 'slow' in name else 0)
        outcomes[name] = (
            code, time.monotonic() - began_s, peak_mb() - before_mb)
print(json.dumps(outcomes))
"""
# Several times the 0.5 s that each head and each body may take.
_GENEROUS_LIMIT_S = 10
# The largest body that is held, twice while its parts are joined, and as much
# again for the faulty upstream in the same process.
_MEMORY_LIMIT_MB = 32

LATE_COPY_SCRIPT = r"""
import eventlet
eventlet.monkey_patch()
import sys
from cowslipstep.daemon._upstream import UpstreamCall, open_call
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import Address

def response(status, body):
    head = 'HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n' % (status, len(body))
    return (head + body).encode()

REFUSED = response('503 Unavailable', '{"ran": false}')
FIRST = REFUSED if sys.argv[1] == 'refusal' else response('200 OK', 'first')
numbers = iter((1, 2))

def serve():
    while True:
        eventlet.spawn(serve_connection, listener.accept()[0])

def serve_connection(sock):
    first_on_connection = True
    while sock.recv(1000):
        if next(numbers) == 1:
            sock.sendall(FIRST)
        elif first_on_connection:
            sock.sendall(response('200 OK', 'second'))
        else:
            # The copy arrives once the next request is on its way.
            sock.sendall(FIRST)
        first_on_connection = False

listener = eventlet.listen(('127.0.0.1', 0))
eventlet.spawn(serve)
address = Address('127.0.0.1', listener.getsockname()[1])
for _ in range(2):
    try:
        with open_call(UpstreamCall(address, 'POST', '/', b'x')) as received:
            print(b''.join(received.read_chunks()).decode())
    except UpstreamFailure as failure:
        print(failure.verdict.code)
"""


def _run(script: str, *arguments: str) -> str:
    ran = subprocess.run(  # noqa: S603
        [sys.executable, '-W', 'ignore', '-c', script, *arguments],
        capture_output=True,
        text=True,
        check=True,
        timeout=300,
    )
    return ran.stdout


def test_bytes_without_end_fail_a_response() -> None:
    outcomes = json.loads(_run(ENDLESS_SCRIPT))
    for name, (code, elapsed_s, grown_mb) in outcomes.items():
        assert code == 'may_have_run', name
        assert elapsed_s < _GENEROUS_LIMIT_S, name
        assert grown_mb < _MEMORY_LIMIT_MB, name


@pytest.mark.parametrize(
    ('copied', 'printed'),
    [('refusal', ['not_run', 'second']), ('response', ['first', 'second'])],
)
def test_late_copy_does_not_reach_the_next_call(
    copied: str, printed: list[str]
) -> None:
    assert _run(LATE_COPY_SCRIPT, copied).split() == printed
