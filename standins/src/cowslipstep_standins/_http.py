"""HTTP requests and JSON responses of the stand-ins."""

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
    """Method, path, query, body, headers and socket of a request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    headers: dict[str, str]
    connection: Any = field(default=None, eq=False, repr=False)

    @property
    def document(self) -> Any:
        """The body decoded from JSON; an empty object if there is no body."""
        return json.loads(self.body or b'{}')

    @property
    def segments(self) -> tuple[str, ...]:
        """Segments of the path, without the slashes."""
        return tuple(self.path.strip('/').split('/'))


@frozen
class HttpResponse:
    """Status line and JSON document of a response."""

    status: str
    document: Any = field(factory=dict)


def read_request(environ: Environ) -> HttpRequest:
    """Read a request with its whole body from a WSGI environment."""
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
    response: HttpResponse,
) -> list[bytes]:
    """Start a JSON response and return its body."""
    if response.status.startswith('304'):
        start_response(response.status, [])
        return []
    payload = json.dumps(response.document).encode()
    length = ('Content-Length', str(len(payload)))
    start_response(response.status, [*_JSON_HEADERS, length])
    return [payload]


def has_caller_disconnected(request: HttpRequest) -> bool:
    """Whether the caller has closed the connection of its request."""
    poller = _select.poll()
    poller.register(request.connection.fileno(), _select.POLLIN)
    if not poller.poll(0):
        return False
    return not request.connection.recv(1, socket.MSG_PEEK)


def close_connection(environ: Environ) -> None:
    """Close the connection of a request without a response."""
    connection = environ['wsgi.input'].get_socket()
    connection.shutdown(socket.SHUT_RDWR)


def ok(document: Any) -> HttpResponse:
    """Return the response of a call that succeeded."""
    return HttpResponse('200 OK', document)
