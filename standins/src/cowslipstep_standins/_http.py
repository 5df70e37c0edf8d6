"""HTTP requests and JSON answers of by the stand-ins."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

from attrs import field, frozen
from eventlet import patcher

Environ = dict[str, Any]
Header = tuple[str, str]
StartResponse = Callable[[str, list[Header]], Any]

_select = patcher.original('select')
_JSON_HEADERS = (('Content-Type', 'application/json'),)


@frozen
class HttpRequest:
    """Method, path, query and body of a request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    headers: dict[str, str]
    connection: Any = field(default=None, eq=False, repr=False)

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
        environ['wsgi.input'].get_socket(),
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


def is_abandoned(request: HttpRequest) -> bool:
    """Say whether the caller has closed the connection of its request."""
    poller = _select.poll()
    poller.register(request.connection.fileno(), _select.POLLIN)
    if not poller.poll(0):
        return False
    return not request.connection.recv(1, socket.MSG_PEEK)


def sever(environ: Environ) -> None:
    """Close the connection of a request without an answer."""
    connection = environ['wsgi.input'].get_socket()
    connection.shutdown(socket.SHUT_RDWR)


def ok(document: Any) -> HttpAnswer:
    """Return the answer for a call that succeeded."""
    return HttpAnswer('200 OK', document)
