"""HTTP calls to upstreams; each failure has a verdict on the request."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import urllib3
from attrs import field, frozen

from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.daemon._upstream_failures import (
    UpstreamFailure,
    raise_for_status,
)
from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.tasks import TimeSlice

_CONNECT_TIMEOUT_S = 1
_MAX_CHUNK_BYTES = 65536


@frozen
class UpstreamCall:
    """One call to an upstream.

    ``read_timeout_s`` limits the wait for the response and for each further
    part of its body.
    """

    address: Address
    method: str
    path: str
    body: bytes
    headers: dict[str, str] = field(factory=dict)
    read_timeout_s: float = 30


@contextlib.contextmanager
def open_call(call: UpstreamCall) -> Iterator[urllib3.BaseHTTPResponse]:
    """Send a call, yield its response before its body is read, and close.

    Each call has a connection of its own: on a kept one a faulty upstream may
    send an earlier response once more, which would pass for the next one.

    Raises
    ------
    UpstreamFailure
        If there is no response, or its status is 500 or above.
    """
    address = call.address
    with (
        urllib3.HTTPConnectionPool(address.ip, address.port) as connections,
        contextlib.closing(_send(connections, call)) as response,
    ):
        raise_for_status(response, address)
        yield response


def _send(
    connections: urllib3.HTTPConnectionPool, call: UpstreamCall
) -> urllib3.BaseHTTPResponse:
    # The timeout of a read does not end a head that comes byte by byte.
    limit_s = _CONNECT_TIMEOUT_S + call.read_timeout_s
    with _convert_errors(), call_time_limit(limit_s):
        return connections.request(
            call.method,
            call.path,
            body=call.body,
            headers=call.headers,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S,
                read=call.read_timeout_s,
            ),
            retries=False,
            preload_content=False,
        )


def read_chunks(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield chunks of a body as they arrive; other tasks run in between.

    Raises
    ------
    UpstreamFailure
        If the connection is closed early or the read times out.
    """
    time_slice = TimeSlice()
    while True:
        time_slice.end_if_over()
        with _convert_errors():
            chunk = response.read1(_MAX_CHUNK_BYTES)
        if not chunk:
            return
        yield chunk


@contextlib.contextmanager
def _convert_errors() -> Iterator[None]:
    try:
        yield
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise UpstreamFailure(_verdict(error), str(error)) from error


def _verdict(error: Exception) -> NotRun | MayHaveRun:
    match error:
        case (
            urllib3.exceptions.NewConnectionError()
            | urllib3.exceptions.ConnectTimeoutError()
        ):
            return NotRun(Reason.connect_failed, retry_after_s=1)
        case urllib3.exceptions.TimeoutError():
            return MayHaveRun(Reason.upstream_timeout)
        case _:
            return MayHaveRun(Reason.upstream_cut)
