"""Reads and watches of platform objects."""

from __future__ import annotations

from typing import Any

from cowslipstep.platform._calls import CALL_TIMEOUT_S, PlatformCall
from cowslipstep.platform._caller import PlatformCaller
from cowslipstep.platform._objects import ObjectKey, StoredObject

_READ = 'GET'
_NOT_MODIFIED = 304


class ObjectReader:
    """Reads and watches platform objects.

    Parameters
    ----------
    caller
        Sends the calls.
    """

    def __init__(self, caller: PlatformCaller) -> None:
        self._caller = caller

    @property
    def answered_at_s(self) -> float:
        """Monotonic clock reading of the platform's last answer."""
        return self._caller.answered_at_s

    def read(self, key: ObjectKey) -> StoredObject:
        """Read one object.

        Raises
        ------
        ObjectMissing
            If there is none.
        PlatformUnavailable
            If there was no answer.
        """
        call = PlatformCall(_READ, key.kind, f'/objects/{key}')
        return _stored(key, self._caller.call(call).json())

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
        call = PlatformCall(
            _READ,
            key.kind,
            f'/objects/{key}?after={known_version}&wait_s={wait_s}',
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        answer = self._caller.call(call)
        if answer.status == _NOT_MODIFIED:
            return None
        return _stored(key, answer.json())

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        """Read all objects of a kind.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        call = PlatformCall(_READ, kind, f'/objects/{kind}')
        listed = self._caller.call(call).json()['objects']
        return tuple(
            _stored(ObjectKey(kind, entry['name']), entry) for entry in listed
        )

    def read_document(self, kind: str, path: str) -> Any:
        """Read a JSON document that is no object, for example ``/hosts``.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        return self._caller.call(PlatformCall(_READ, kind, path)).json()


def _stored(key: ObjectKey, raw: dict[str, Any]) -> StoredObject:
    return StoredObject(key, raw['version'], raw['body'])
