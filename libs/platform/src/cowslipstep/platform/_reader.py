"""Reads and watches of platform objects."""

from __future__ import annotations

from typing import Any

from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._kind_reader import KindReader
from cowslipstep.platform._objects import ObjectKey, StoredObject

_READ = 'GET'
_NOT_MODIFIED = 304


class ObjectReader(KindReader):
    """Reads and watches platform objects."""

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
        answer = self._caller.call(self._dialect.calls.read(key))
        return self._dialect.responses.parse_object(key, answer.json())

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
        call = self._dialect.calls.watch(str(key), known_version, wait_s)
        answer = self._caller.call(call)
        if answer.status == _NOT_MODIFIED:
            return None
        return self._dialect.responses.parse_object(key, answer.json())

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        """Read all objects of a kind.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        return self.list_kind(kind).stored_objects

    def read_document(self, kind: str, path: str) -> Any:
        """Read a JSON document that is no object, for example ``/hosts``.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        return self._caller.call(PlatformCall(_READ, kind, path)).json()
