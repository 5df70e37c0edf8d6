"""HTTP calls to upstreams; each failure has a verdict on the request."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import urllib3
from attrs import field, frozen
from urllib3.connection import HTTPConnection

from cowslipstep.daemon._bounded_reader import (
    BoundedReader,
    bound_socket,
    ends_with_connection,
)
from cowslipstep.daemon._http_errors import as_upstream_failure
from cowslipstep.daemon._upstream_failures import (
    UpstreamFailure,
    raise_for_status,
)
from cowslipstep.model import Address, NotRun, Reason
from cowslipstep.platform import CheckedConnection

_CONNECT_TIMEOUT_S = 1
_MAX_CHUNK_BYTES = 65536
# Status line and headers together, informational responses included.
_MAX_HEAD_BYTES = 131072
# A chunk of a body with the framing around it.
_MAX_RECEIVED_CHUNK_BYTES = 2 * _MAX_CHUNK_BYTES


def _write_at_once() -> None:
    """Let the call be written."""


@frozen
class UpstreamCall:
    """One call to an upstream.

    ``read_timeout_s`` limits the wait for the response and for each further
    part of its body. ``before_writing`` is called once there is a connection;
    it may raise ``UpstreamFailure`` instead.
    """

    address: Address
    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    read_timeout_s: float = 30
    before_writing: Callable[[], None] = _write_at_once


@frozen
class OpenCall:
    """A response whose body is read as it arrives.

    Parameters
    ----------
    response
        The response, after its head was read.
    reader
        Limits what is received for it.
    read_timeout_s
        Longest wait for each part of its body, seconds.
    """

    response: urllib3.BaseHTTPResponse
    reader: BoundedReader
    read_timeout_s: float

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.response.status

    @property
    def content_type(self) -> str:
        """Content type; empty if there is none."""
        return self.response.headers.get('Content-Type', '')

    def read_chunks(self) -> Iterator[bytes]:
        """Yield chunks of the body as they arrive; other tasks run in between.

        Raises
        ------
        UpstreamFailure
            If the connection is closed early, or a part does not end in time.
        """
        while chunk := self._read_chunk():
            yield chunk

    def _read_chunk(self) -> bytes:
        self.reader.let_others_run()
        with as_upstream_failure():
            self.reader.limit(self.read_timeout_s, _MAX_RECEIVED_CHUNK_BYTES)
            return self.response.read1(_MAX_CHUNK_BYTES)


@contextlib.contextmanager
def open_call(call: UpstreamCall) -> Iterator[OpenCall]:
    """Send a call, yield its response before its body is read, and close.

    Each call has a connection of its own: on a kept one a faulty upstream may
    send an earlier response once more, which would pass for the next one.

    Raises
    ------
    UpstreamFailure
        If there is no response, or its status is 500 or above.
    """
    connection = CheckedConnection(
        call.address.ip, call.address.port, timeout=_CONNECT_TIMEOUT_S
    )
    with contextlib.closing(connection):
        reader = _connect(connection, call)
        response = _send(connection, reader, call)
        raise_for_status(response, call.address)
        yield OpenCall(response, reader, call.read_timeout_s)


def _connect(connection: HTTPConnection, call: UpstreamCall) -> BoundedReader:
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UpstreamFailure(
            NotRun(Reason.connect_failed, retry_after_s=1), str(error)
        ) from error
    return bound_socket(connection.sock)


def _send(
    connection: HTTPConnection, reader: BoundedReader, call: UpstreamCall
) -> urllib3.HTTPResponse:
    call.before_writing()
    with as_upstream_failure():
        connection.timeout = call.read_timeout_s
        reader.limit(call.read_timeout_s, _MAX_HEAD_BYTES)
        reader.allow_end(allowed=False)
        connection.request(
            call.method,
            call.path,
            body=call.body,
            headers=call.headers,
            preload_content=False,
        )
        response = connection.getresponse()
        reader.allow_end(allowed=ends_with_connection(response))
        return response
