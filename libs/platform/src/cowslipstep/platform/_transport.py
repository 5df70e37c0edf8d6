"""HTTP calls to the platform, with the verdict of each failure."""

from __future__ import annotations

import json

import urllib3

from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._objects import (
    ObjectMissing,
    PlatformUnavailable,
    VersionConflict,
)

_CONNECT_TIMEOUT_S = 1
_MAX_IDLE_CONNECTIONS = 4
_NOT_FOUND = 404
_CONFLICT = 409
_CALLER_ERROR = 400
_SERVER_ERROR = 500


class PlatformTransport:
    """Sends calls to the platform.

    Parameters
    ----------
    address
        Address of the object API.
    sender
        Name in the ``User-Agent`` header.
    """

    def __init__(self, address: Address, sender: str) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.ip,
            address.port,
            maxsize=_MAX_IDLE_CONNECTIONS,
            retries=False,
            headers={'User-Agent': sender},
        )

    def send(self, call: PlatformCall) -> urllib3.BaseHTTPResponse:
        """Send one call and return its answer.

        Raises
        ------
        VersionConflict
            If the object has another version.
        ObjectMissing
            If there is no such object.
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
                body=_encoded(call.body),
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
        return _checked(answer, call)


def _encoded(body: str | None) -> str | None:
    return None if body is None else json.dumps({'body': body})


def _checked(
    answer: urllib3.BaseHTTPResponse,
    call: PlatformCall,
) -> urllib3.BaseHTTPResponse:
    match answer.status:
        case status if status == _CONFLICT:
            raise VersionConflict(str(call))
        case status if status == _NOT_FOUND:
            raise ObjectMissing(str(call))
        case status if status >= _CALLER_ERROR:
            raise PlatformUnavailable(
                _verdict(status),
                f'{call}: status {status}',
            )
        case _:
            return answer


def _verdict(status: int) -> NotRun | MayHaveRun:
    if status >= _SERVER_ERROR:
        return MayHaveRun(Reason.platform_down)
    return NotRun(Reason.platform_down)
