"""Health requests reuse their connection and reject invalid responses."""

from __future__ import annotations

import threading
from http.client import HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from urllib3.connection import HTTPConnection

from cowslipstep.daemon._health_calls import request_health


class HostServer(BaseHTTPRequestHandler):
    """Responds with the next of the prepared statuses and bodies."""

    protocol_version = 'HTTP/1.1'
    prepared: list[tuple[int, bytes, str]] = []

    def do_GET(self) -> None:
        status, body, connection = self.prepared.pop(0)
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.send_header('Connection', connection)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_words: object) -> None:
        """Print nothing."""


@pytest.fixture
def connection():
    server = ThreadingHTTPServer(('127.0.0.1', 0), HostServer)
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    opened = HTTPConnection('127.0.0.1', server.server_port, timeout=10)
    yield opened
    opened.close()
    server.shutdown()
    server.server_close()
    thread.join()


def test_a_connection_is_reused_until_closed(connection) -> None:
    HostServer.prepared = [
        (200, b'{"n": 1}', 'keep-alive'),
        (200, b'{"n": 2}', 'close'),
        (200, b'{"n": 3}', 'keep-alive'),
    ]
    for number in (1, 2, 3):
        assert request_health(connection) == {'n': number}


@pytest.mark.parametrize(
    ('response', 'error'),
    [
        ((503, b'{"n": 1}', 'keep-alive'), HTTPException),
        ((200, b'no JSON', 'keep-alive'), ValueError),
        ((200, b'[' * 100000, 'keep-alive'), ValueError),
    ],
)
def test_invalid_responses_are_errors(connection, response, error) -> None:
    HostServer.prepared = [response]
    with pytest.raises(error):
        request_health(connection)
