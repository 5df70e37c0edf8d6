"""Client of the platform's object API over HTTP."""

from __future__ import annotations

import json
from typing import Any

import urllib3

from cowslipstep.model import Address, MayHaveRun, NotRun, Reason
from cowslipstep.platform._objects import (
    ObjectKey,
    ObjectMissing,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)

_CALL_TIMEOUT_S = 2
_CONNECT_TIMEOUT_S = 1
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_CONFLICT = 409
_SERVER_ERROR = 500


class PlatformClient:
    """Reads, watches and conditionally changes platform objects.

    Parameters
    ----------
    address
        Address of the object API.
    """

    def __init__(self, address: Address) -> None:
        self._pool = urllib3.HTTPConnectionPool(
            address.ip,
            address.port,
            maxsize=4,
            retries=False,
        )

    def read(self, key: ObjectKey) -> StoredObject:
        """Read one object.

        Raises
        ------
        ObjectMissing
            If there is none.
        PlatformUnavailable
            If there was no answer.
        """
        answer = self._call('GET', f'/objects/{key}')
        return _stored(key, answer.json())

    def watch(
        self,
        key: ObjectKey,
        known_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait until the object is newer than ``known_version``.

        Returns ``None`` when it has not changed within ``wait_s`` seconds.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        path = f'/objects/{key}?after={known_version}&wait_s={wait_s}'
        answer = self._call('GET', path, timeout_s=wait_s + _CALL_TIMEOUT_S)
        if answer.status == _NOT_MODIFIED:
            return None
        return _stored(key, answer.json())

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object and return its version.

        Raises
        ------
        VersionConflict
            If it exists already.
        PlatformUnavailable
            If there was no answer; its verdict says whether the change may
            have taken effect.
        """
        return self._call('POST', f'/objects/{key}', body).json()['version']

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object that still has ``version``; return the new one.

        Raises
        ------
        VersionConflict
            If the object has another version by now.
        PlatformUnavailable
            If there was no answer; its verdict says whether the change may
            have taken effect.
        """
        path = f'/objects/{key}?version={version}'
        return self._call('PUT', path, body).json()['version']

    def delete(self, key: ObjectKey, version: int) -> None:
        """Delete an object that still has ``version``.

        Raises
        ------
        VersionConflict
            If the object has another version by now.
        PlatformUnavailable
            If there was no answer.
        """
        self._call('DELETE', f'/objects/{key}?version={version}')

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        """Read all objects of a kind.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        listed = self._call('GET', f'/objects/{kind}').json()['objects']
        return tuple(
            _stored(ObjectKey(kind, entry['name']), entry) for entry in listed
        )

    def _call(
        self,
        method: str,
        path: str,
        body: str | None = None,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            answer = self._pool.request(
                method,
                path,
                body=None if body is None else json.dumps({'body': body}),
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as refused:
            raise PlatformUnavailable(
                NotRun(Reason.platform_down),
                f'{method} {path}: {refused}',
            ) from refused
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(
                MayHaveRun(Reason.platform_down),
                f'{method} {path}: {error}',
            ) from error
        return _checked(answer, f'{method} {path}')


def _checked(
    answer: urllib3.BaseHTTPResponse,
    call: str,
) -> urllib3.BaseHTTPResponse:
    match answer.status:
        case status if status >= _SERVER_ERROR:
            raise PlatformUnavailable(
                MayHaveRun(Reason.platform_down),
                f'{call}: status {status}',
            )
        case status if status == _CONFLICT:
            raise VersionConflict(call)
        case status if status == _NOT_FOUND:
            raise ObjectMissing(call)
        case _:
            return answer


def _stored(key: ObjectKey, raw: dict[str, Any]) -> StoredObject:
    return StoredObject(key, raw['version'], raw['body'])
