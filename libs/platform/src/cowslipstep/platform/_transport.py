"""HTTP calls to the platform, with the verdict of each failure."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from types import MappingProxyType

import urllib3

from cowslipstep.model import (
    Address,
    CowslipstepError,
    MayHaveRun,
    NotRun,
    Reason,
)
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._dialect import StoreResponses
from cowslipstep.platform._objects import (
    HistoryGone,
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)

_CONNECT_TIMEOUT_S = 1
_MAX_IDLE_CONNECTIONS = 4
_CALLER_ERROR = 400
_ERRORS: Mapping[int, type[CowslipstepError]] = MappingProxyType(
    {404: ObjectMissing, 409: VersionConflict, 410: HistoryGone},
)
# A connection that went silent is closed after three of these periods.
_KEEPALIVE_PERIOD_S = 1
_KEEPALIVE_PROBES = 2
_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PERIOD_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)


class PlatformTransport:
    """Sends calls to the platform.

    Parameters
    ----------
    address
        Address of the object API.
    sender
        Name in the ``User-Agent`` header.
    answers
        Says what error statuses mean.
    """

    def __init__(
        self,
        address: Address,
        sender: str,
        answers: StoreResponses,
    ) -> None:
        self._answers = answers
        self._pool = urllib3.HTTPConnectionPool(
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

    def send(self, call: PlatformCall) -> urllib3.BaseHTTPResponse:
        """Send one call and return its answer.

        Raises
        ------
        VersionConflict
            If the object has another version.
        ObjectMissing
            If there is no such object.
        HistoryGone
            If the changes that are watched for are no longer kept.
        PlatformUnavailable
            If there was no usable answer.
        """
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S,
            read=call.timeout_s,
        )
        try:
            answer = self._pool.request(
                call.method,
                call.path,
                body=call.body,
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as refused:
            raise PlatformUnavailable(
                NotRun(Reason.platform_down),
                f'{call}: {refused}',
            ) from refused
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(
                MayHaveRun(Reason.platform_down),
                f'{call}: {error}',
            ) from error
        return self._checked(answer, call)

    def _checked(
        self,
        answer: urllib3.BaseHTTPResponse,
        call: PlatformCall,
    ) -> urllib3.BaseHTTPResponse:
        error = _ERRORS.get(answer.status)
        if error is not None:
            raise error(str(call))
        if answer.status >= _CALLER_ERROR:
            raise PlatformUnavailable(
                self._answers.refusal(answer.status),
                f'{call}: status {answer.status}',
            )
        return answer
