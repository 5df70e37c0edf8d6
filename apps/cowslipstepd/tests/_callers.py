"""Callers that send requests over connections that they keep."""

from __future__ import annotations

import contextlib
import time
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any

from attrs import evolve, frozen

from cowslipstep.fleet import Header, Route

_READ_TIMEOUT_S = 15
_BODY = b'{}'


@frozen
class Received:
    """What a caller received for one request.

    Parameters
    ----------
    status
        HTTP status; zero if the connection ended without a response.
    body
        Body, as far as it came.
    whole
        Whether the body is framed as complete.
    elapsed_s
        Time from the request to the end of the response.
    retry_after
        ``Retry-After`` header; empty for none.
    headers
        All headers.
    """

    status: int
    body: bytes
    whole: bool
    elapsed_s: float = 0
    retry_after: str = ''
    headers: tuple[Header, ...] = ()

    @property
    def response(self) -> tuple[int, bytes, bool]:
        """Status, body, and whether the body is framed as complete."""
        return self.status, self.body, self.whole


class Caller:
    """A caller that keeps its connection.

    Parameters
    ----------
    sock
        Its connection.
    """

    def __init__(self, sock: Any) -> None:
        sock.settimeout(_READ_TIMEOUT_S)
        self._sock = sock
        self._sent = 0

    def exchange(self, route: Route, parts: str = '') -> Received:
        """Send one request and return its response."""
        self.send_head(route, parts)
        self.send_body()
        return self.receive()

    def send_head(self, route: Route, parts: str = '') -> None:
        """Send the head of a request with these shared parts of a prompt."""
        self._sent += 1
        self._send(
            f'POST {route.path_prefix}a HTTP/1.1\r\n'
            f'Host: {route.host}\r\nRequest-Id: r{self._sent}\r\n'
            f'Parts: {parts}\r\n'
            f'Content-Length: {len(_BODY)}\r\n\r\n'.encode()
        )

    def send_body(self) -> None:
        """Send the body of a request."""
        self._send(_BODY)

    def receive(self) -> Received:
        """Return the response to a request whose body was just sent."""
        began_s = time.monotonic()
        received = _read_response(self._sock)
        return evolve(received, elapsed_s=time.monotonic() - began_s)

    def _send(self, sent: bytes) -> None:
        # A daemon that has closed the connection shows when it is read.
        with contextlib.suppress(OSError):
            self._sock.sendall(sent)


def _read_response(sock: Any) -> Received:
    response = HTTPResponse(sock)
    try:
        response.begin()
    except (HTTPException, OSError):
        return Received(0, b'', whole=False)
    received = Received(
        response.status,
        b'',
        whole=False,
        retry_after=response.getheader('Retry-After', ''),
        headers=tuple(response.getheaders()),
    )
    try:
        return evolve(received, body=response.read(), whole=True)
    except IncompleteRead as cut:
        return evolve(received, body=cut.partial)
    except OSError:
        return received
