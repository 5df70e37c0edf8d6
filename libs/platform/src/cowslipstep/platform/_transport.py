"""HTTP calls to the platform, with the verdict of each failure."""

from __future__ import annotations

import socket

import urllib3

from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._dialect import StoreDialect, TextDialect
from cowslipstep.platform._objects import (
    HistoryGone,
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)

_CONNECT_TIMEOUT_S = 1
_MAX_IDLE_CONNECTIONS = 4
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 409
_CALLER_ERROR = 400
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
    dialect
        Says what error statuses mean.
    """

    def __init__(
        self,
        address: Address,
        sender: str,
        dialect: StoreDialect | None = None,
    ) -> None:
        self._dialect = dialect or TextDialect()
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
        match answer.status:
            case status if status == _CONFLICT:
                raise VersionConflict(str(call))
            case status if status == _NOT_FOUND:
                raise ObjectMissing(str(call))
            case status if status == _GONE:
                raise HistoryGone(str(call))
            case status if status >= _CALLER_ERROR:
                raise PlatformUnavailable(
                    self._dialect.refusal(status),
                    f'{call}: status {status}',
                )
            case _:
                return answer
