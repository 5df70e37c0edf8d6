"""Callers that send requests over connections that they keep."""

from __future__ import annotations

import contextlib
import time
from http.client import HTTPException, HTTPResponse, IncompleteRead
from typing import Any

from attrs import frozen

from cowslipstep.fleet import Route

_READ_TIMEOUT_S = 15


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
    """

    status: int
    body: bytes
    whole: bool
    elapsed_s: float


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

    def exchange(self, route: Route) -> Received:
        """Send one request and return its response."""
        self._sent += 1
        began_s = time.monotonic()
        with contextlib.suppress(OSError):
            self._sock.sendall(
                f'POST {route.path_prefix}a HTTP/1.1\r\n'
                f'Host: {route.host}\r\nRequest-Id: r{self._sent}\r\n'
                'Content-Length: 2\r\n\r\n{}'.encode()
            )
        status, body, whole = _read_response(self._sock)
        return Received(status, body, whole, time.monotonic() - began_s)


def _read_response(sock: Any) -> tuple[int, bytes, bool]:
    response = HTTPResponse(sock)
    try:
        response.begin()
    except (HTTPException, OSError):
        return 0, b'', False
    try:
        return response.status, response.read(), True
    except IncompleteRead as cut:
        return response.status, cut.partial, False
    except OSError:
        return response.status, b'', False
