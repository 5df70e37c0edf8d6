"""HTTP calls to the platform; each failure gets a verdict.

The verdict says whether the call may have taken effect.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Mapping
from types import MappingProxyType

import urllib3
from attrs import frozen

from cowslipstep.model import (
    Address,
    CowslipstepError,
    MayHaveRun,
    NotRun,
    Reason,
)
from cowslipstep.platform._call_hooks import TimeLimit
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._checked_http import CheckedPool
from cowslipstep.platform._dialect import StoreResponses
from cowslipstep.platform._objects import (
    HistoryGone,
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)
from cowslipstep.tasks import TimeSlice

_READ_BYTES = 65536
# Far more than a page of objects has.
_MAX_BODY_BYTES = 67108864
# Time for a body, beyond the time limit of its call.
_BODY_TIMEOUT_S = 10
_CONNECT_TIMEOUT_S = 1
_MAX_IDLE_CONNECTIONS = 4
_MIN_ERROR_STATUS = 400
_ERROR_BY_STATUS: Mapping[int, type[CowslipstepError]] = MappingProxyType(
    {404: ObjectMissing, 409: VersionConflict, 410: HistoryGone},
)
# TCP keepalive: a connection whose peer no longer responds is closed after
# three of these periods, one idle and two with a probe.
_KEEPALIVE_PERIOD_S = 1
_KEEPALIVE_PROBES = 2
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PERIOD_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)


@frozen
class PlatformResponse:
    """Status and body of a response, and the era of the store.

    ``era`` is ``None`` if the response names none.
    """

    status: int
    body: bytes
    era: int | None = None


class PlatformTransport:
    """Sends calls to the platform.

    A response is limited in time as a whole, whether its next byte is awaited
    or there, and in size.

    Parameters
    ----------
    address
        Address of the object API.
    sender
        Name in the ``User-Agent`` header.
    responses
        Gives the verdict of an error status.
    time_limit
        Limits the time of a call as a whole.
    """

    def __init__(
        self,
        address: Address,
        sender: str,
        responses: StoreResponses,
        time_limit: TimeLimit,
    ) -> None:
        self._responses = responses
        self._time_limit = time_limit
        self._pool = CheckedPool(
            address.ip,
            address.port,
            maxsize=_MAX_IDLE_CONNECTIONS,
            retries=False,
            headers={
                'User-Agent': sender,
                'Content-Type': 'application/json',
            },
            socket_options=_SOCKET_OPTIONS,
        )

    def send(self, call: PlatformCall) -> PlatformResponse:
        """Send one call and return its response, whatever its status.

        Raises
        ------
        PlatformUnavailable
            If there was no response.
        """
        limit_s = _CONNECT_TIMEOUT_S + call.timeout_s + _BODY_TIMEOUT_S
        try:
            with self._time_limit(limit_s):
                return self._exchange(call)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _unavailable(call, error) from error

    def checked(
        self,
        response: PlatformResponse,
        call: PlatformCall,
    ) -> PlatformResponse:
        """Return a response, or raise the error that its status stands for.

        Raises
        ------
        VersionConflict
            If the object has another version.
        ObjectMissing
            If there is no such object.
        HistoryGone
            If the platform no longer keeps the changes to watch.
        PlatformUnavailable
            If the call was refused or failed.
        """
        error = _ERROR_BY_STATUS.get(response.status)
        if error is not None:
            raise error(str(call))
        if response.status >= _MIN_ERROR_STATUS:
            raise PlatformUnavailable(
                self._responses.verdict_of_status(response.status),
                f'{call}: status {response.status}',
            )
        return response

    def _exchange(self, call: PlatformCall) -> PlatformResponse:
        response = self._pool.request(
            call.method,
            call.path,
            body=call.body,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S,
                read=call.timeout_s,
            ),
            preload_content=False,
        )
        try:
            body = _read_body(response)
        except BaseException:
            # The rest must not be read as the next response.
            response.close()
            raise
        response.release_conn()
        return PlatformResponse(
            response.status, body, self._responses.era(response.headers)
        )


def _unavailable(call: PlatformCall, error: Exception) -> PlatformUnavailable:
    message = f'{call}: {error}'
    not_run = NotRun(Reason.platform_down)
    may_have_run = MayHaveRun(Reason.platform_down)
    match error:
        case urllib3.exceptions.NewConnectionError():
            return PlatformUnavailable(not_run, message)
        case urllib3.exceptions.ConnectTimeoutError():
            return PlatformUnavailable(not_run, message, is_silent=True)
        case urllib3.exceptions.ReadTimeoutError():
            return PlatformUnavailable(may_have_run, message, is_silent=True)
    return PlatformUnavailable(may_have_run, message)


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    ends_at_s = time.monotonic() + _BODY_TIMEOUT_S
    time_slice = TimeSlice()
    body = bytearray()
    while chunk := response.read1(_READ_BYTES):
        body += chunk
        time_slice.end_if_over()
        if len(body) > _MAX_BODY_BYTES:
            raise OSError(f'the body exceeds {_MAX_BODY_BYTES} bytes')
        if time.monotonic() > ends_at_s:
            raise TimeoutError('the body goes on after its time limit')
    return bytes(body)
