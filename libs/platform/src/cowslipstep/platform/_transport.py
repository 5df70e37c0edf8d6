"""HTTP calls to the platform; each failure gets a verdict.

The verdict says whether the call may have taken effect.
"""

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


class PlatformTransport:
    """Sends calls to the platform.

    Parameters
    ----------
    address
        Address of the object API.
    sender
        Name in the ``User-Agent`` header.
    responses
        Gives the verdict of an error status.
    """

    def __init__(
        self,
        address: Address,
        sender: str,
        responses: StoreResponses,
    ) -> None:
        self._responses = responses
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
        """Send one call and return its response.

        Raises
        ------
        VersionConflict
            If the object has another version.
        ObjectMissing
            If there is no such object.
        HistoryGone
            If the platform no longer keeps the changes to watch.
        PlatformUnavailable
            If there was no usable response.
        """
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S,
            read=call.timeout_s,
        )
        try:
            response = self._pool.request(
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
        return self._checked(response, call)

    def _checked(
        self,
        response: urllib3.BaseHTTPResponse,
        call: PlatformCall,
    ) -> urllib3.BaseHTTPResponse:
        error = _ERROR_BY_STATUS.get(response.status)
        if error is not None:
            raise error(str(call))
        if response.status >= _MIN_ERROR_STATUS:
            raise PlatformUnavailable(
                self._responses.verdict_of_status(response.status),
                f'{call}: status {response.status}',
            )
        return response
