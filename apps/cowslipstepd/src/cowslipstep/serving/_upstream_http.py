"""One HTTP request to an upstream, on a connection of its own."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Callable, Iterator

import urllib3
from attrs import frozen
from urllib3.connection import HTTPConnection

from cowslipstep.daemon._bounded_reader import (
    BoundedReader,
    bound_socket,
    ends_with_connection,
)
from cowslipstep.daemon._held_responses import HeldResponse
from cowslipstep.daemon._http_errors import as_upstream_failure
from cowslipstep.daemon._part_limit import MAX_BODY_BYTES
from cowslipstep.daemon._read_limits import Silence
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.platform import CheckedConnection

# Several times the longest round trip within a deployment.
CONNECT_TIMEOUT_S = 0.3
_READ_CHUNK_BYTES = 65536
# Largest status line and headers of a response together, informational
# responses before it included.
_MAX_HEAD_BYTES = 131072
# Bytes that may be received for one chunk of a body: the chunk, and the
# framing of a chunked body around it.
_MAX_RECEIVED_CHUNK_BYTES = 2 * _READ_CHUNK_BYTES
_CONTENT_CODING_FIELD = 'Content-Encoding'
_SOCKET_OPTIONS = ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),)
# Minimum socket timeout, since a timeout of zero would not wait at all.
_MIN_TIMEOUT_S = 0.001


@frozen
class HttpRequest:
    """An HTTP request to an upstream.

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
        Request body; empty for none.
    response_timeout_s
        Longest time until the head of the response is complete, seconds.
    silence
        What happens before that if nothing is received.
    writing
        Returns a context in which the request is written, once there is a
        connection; it may raise ``UpstreamFailure`` instead.
    """

    address: Address
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    response_timeout_s: float
    silence: Silence | None = None
    writing: Callable[[], contextlib.AbstractContextManager[None]] = (
        contextlib.nullcontext
    )


class OpenResponse:
    """A response whose body is read as it arrives.

    Parameters
    ----------
    response
        The response, after its head was read.
    reader
        Limits what is received for it.
    """

    def __init__(
        self,
        response: urllib3.HTTPResponse,
        reader: BoundedReader,
    ) -> None:
        self._response = response
        self._reader = reader

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> list[tuple[str, str]]:
        """All headers of the response."""
        return list(self._response.headers.items())

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection ends the body."""
        return ends_with_connection(self._response)

    @property
    def content_coding(self) -> str:
        """Coding of the body, as stated in its head; empty if it has none."""
        return self._response.headers.get(_CONTENT_CODING_FIELD, '')

    def read_chunk(
        self, timeout_s: float, silence: Silence | None = None
    ) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Parameters
        ----------
        timeout_s
            Longest wait for the next bytes.
        silence
            What happens before that if nothing is received.

        Raises
        ------
        UpstreamFailure
            If the connection breaks, or no bytes of the body arrive for
            ``timeout_s`` seconds, or they go on after that time.
        """
        self._reader.let_others_run()
        with as_upstream_failure():
            self._reader.limit(timeout_s, _MAX_RECEIVED_CHUNK_BYTES, silence)
            return self._response.read1(_READ_CHUNK_BYTES)

    def read_all(
        self, deadline_s: float, silence: Silence | None = None
    ) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        deadline_s
            Monotonic clock reading until which it may come.
        silence
            What happens if nothing is received for a time.

        Raises
        ------
        UpstreamFailure
            If the connection breaks, the deadline passes first, or the body
            is larger than ``MAX_BODY_BYTES``.
        """
        with HeldResponse() as held:
            while len(held) <= MAX_BODY_BYTES:
                chunk = self.read_chunk(deadline_s - time.monotonic(), silence)
                if not chunk:
                    return bytes(held)
                held.add(chunk)
            raise UpstreamFailure(
                MayHaveRun(Reason.upstream_cut),
                f'expected a body of at most {MAX_BODY_BYTES} bytes, got more',
            )


@contextlib.contextmanager
def open_response(request: HttpRequest) -> Iterator[OpenResponse]:
    """Send a request, yield the response, then close the connection.

    Raises
    ------
    UpstreamFailure
        If the upstream cannot be reached or sends no valid response.
    """
    connection = CheckedConnection(
        request.address.ip,
        request.address.port,
        timeout=CONNECT_TIMEOUT_S,
        socket_options=list(_SOCKET_OPTIONS),
    )
    with contextlib.closing(connection):
        yield _send(connection, request)


def _send(connection: HTTPConnection, request: HttpRequest) -> OpenResponse:
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UpstreamFailure(
            NotRun(Reason.connect_failed),
            f'{request.address}: {error}',
        ) from error
    reader = bound_socket(connection.sock)
    timeout_s = max(request.response_timeout_s, _MIN_TIMEOUT_S)
    with as_upstream_failure():
        # The connection sets this timeout on its socket for sending.
        connection.timeout = timeout_s
        reader.limit(timeout_s, _MAX_HEAD_BYTES, request.silence)
        reader.allow_end(allowed=False)
        with request.writing():
            connection.request(
                request.method,
                request.target,
                body=request.body or None,
                headers=request.headers,
                preload_content=False,
                decode_content=False,
            )
        response = connection.getresponse()
        reader.allow_end(allowed=ends_with_connection(response))
        return OpenResponse(response, reader)
