"""One request to an upstream on a connection of its own."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator
from typing import Any

import urllib3
from attrs import frozen
from urllib3.connection import HTTPConnection

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.serving._resets import ResetReader

# Several times the longest round trip within a deployment.
CONNECT_TIMEOUT_S = 0.3
_READ_CHUNK_BYTES = 65536
_OPTIONS = ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),)
# A time that has passed still lets bytes be read that are there.
_LEAST_TIMEOUT_S = 0.001


@frozen
class Exchange:
    """What is sent on the connection.

    Parameters
    ----------
    address
        Where the upstream listens.
    method
        HTTP method.
    target
        Path and query.
    headers
        All headers.
    body
        The body; empty for none.
    answer_timeout_s
        Longest wait for the head of the answer.
    """

    address: Address
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    answer_timeout_s: float


class OpenAnswer:
    """An answer whose body is read as it comes."""

    def __init__(
        self,
        answer: urllib3.BaseHTTPResponse,
        sock: Any,
    ) -> None:
        self._answer = answer
        self._sock = sock

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._answer.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        """All headers of the answer."""
        return list(self._answer.headers.items())

    def read_piece(self, timeout_s: float) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises
        ------
        UpstreamFailure
            If the connection breaks or is silent for ``timeout_s`` seconds.
        """
        with _failure_told():
            self._sock.settimeout(max(timeout_s, _LEAST_TIMEOUT_S))
            return self._answer.read1(_READ_CHUNK_BYTES)

    def read_all(self, until_s: float) -> bytes:
        """Return the whole body, read until that clock reading.

        Raises
        ------
        UpstreamFailure
            If the connection breaks or the time has passed.
        """
        pieces: list[bytes] = []
        while True:
            piece = self.read_piece(until_s - time.monotonic())
            if not piece:
                return b''.join(pieces)
            pieces.append(piece)


@contextlib.contextmanager
def open_answer(exchange: Exchange) -> Iterator[OpenAnswer]:
    """Send a request and yield its answer, then close the connection.

    Raises
    ------
    UpstreamFailure
        If the upstream cannot be reached or gives no answer.
    """
    connection = HTTPConnection(
        exchange.address.ip,
        exchange.address.port,
        timeout=CONNECT_TIMEOUT_S,
        socket_options=list(_OPTIONS),
    )
    with contextlib.closing(connection):
        yield _send(connection, exchange)


def _send(connection: HTTPConnection, exchange: Exchange) -> OpenAnswer:
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UpstreamFailure(
            NotRun(Reason.connect_failed),
            f'{exchange.address}: {error}',
        ) from error
    sock: Any = connection.sock
    if hasattr(sock, 'fd'):
        # Only green sockets need it; they keep the plain one in ``fd``.
        sock.recv_into = ResetReader(sock).recv_into
    with _failure_told():
        # The connection sets this again on its socket before it reads.
        connection.timeout = max(
            exchange.answer_timeout_s,
            _LEAST_TIMEOUT_S,
        )
        connection.request(
            exchange.method,
            exchange.target,
            body=exchange.body or None,
            headers=exchange.headers,
            preload_content=False,
            decode_content=False,
        )
        return OpenAnswer(connection.getresponse(), sock)


@contextlib.contextmanager
def _failure_told() -> Iterator[None]:
    try:
        yield
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UpstreamFailure(
            MayHaveRun(_reason(error)),
            repr(error),
        ) from error
    except (ValueError, AttributeError) as error:
        # http.client raises these on bytes that are no answer.
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            repr(error),
        ) from error


def _reason(error: Exception) -> Reason:
    match error:
        case TimeoutError() | urllib3.exceptions.TimeoutError():
            return Reason.upstream_timeout
        case _:
            return Reason.upstream_cut
