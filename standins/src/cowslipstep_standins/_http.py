"""HTTP server and JSON helpers shared by the stand-ins."""

from __future__ import annotations

import json
import os
import signal
import socket
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl

import eventlet
from attrs import field, frozen
from eventlet import wsgi

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_JSON_HEADERS = (('Content-Type', 'application/json'),)
_MAX_CONNECTIONS = 4096


@frozen
class HttpRequest:
    """Method, path, query and body of a request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    headers: dict[str, str]

    @property
    def document(self) -> Any:
        """The body decoded from JSON; an empty object without a body."""
        return json.loads(self.body or b'{}')

    @property
    def segments(self) -> tuple[str, ...]:
        """Path segments between slashes."""
        return tuple(self.path.strip('/').split('/'))


@frozen
class HttpAnswer:
    """Status line and JSON document of an answer."""

    status: str
    document: Any = field(factory=dict)


def read_request(environ: Environ) -> HttpRequest:
    """Read a request whole from a WSGI environment."""
    headers = {
        name[5:].replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    return HttpRequest(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        dict(parse_qsl(environ.get('QUERY_STRING', ''))),
        environ['wsgi.input'].read(),
        headers,
    )


def send_json(
    start_response: StartResponse,
    answer: HttpAnswer,
) -> list[bytes]:
    """Start a JSON answer and return its body."""
    if answer.status.startswith('304'):
        start_response(answer.status, [])
        return []
    payload = json.dumps(answer.document).encode()
    length = ('Content-Length', str(len(payload)))
    start_response(answer.status, [*_JSON_HEADERS, length])
    return [payload]


def listen(address: str) -> Any:
    """Open a listening socket on ``ip:port``."""
    ip, _, port = address.rpartition(':')
    return eventlet.listen((ip, int(port)), reuse_port=False)


def serve(sock: Any, application: Application) -> None:
    """Serve until the process is told to end."""
    wsgi.server(
        sock,
        application,
        log_output=False,
        minimum_chunk_size=1,
        max_size=_MAX_CONNECTIONS,
        debug=False,
    )


def exit_on_signals() -> None:
    """End the process at once on SIGTERM and SIGINT."""
    signal.signal(signal.SIGTERM, _exit_now)
    signal.signal(signal.SIGINT, _exit_now)


def _exit_now(_number: int, _frame: object) -> None:
    os._exit(0)


def sever(environ: Environ) -> None:
    """Close the connection of a request without an answer."""
    connection = environ['wsgi.input'].get_socket()
    connection.shutdown(socket.SHUT_RDWR)
