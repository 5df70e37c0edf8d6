"""Reads and watches of platform objects."""

from __future__ import annotations

from typing import Any

from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._json_documents import (
    convert_parse_errors,
    parse_json,
)
from cowslipstep.platform._kind_reader import KindReader, positioned
from cowslipstep.platform._objects import ObjectKey, StoredObject
from cowslipstep.platform._store_eras import revision_of
from cowslipstep.platform._transport import PlatformResponse
from cowslipstep.platform._watch_doubts import WatchDoubts

_READ_METHOD = 'GET'
_NOT_MODIFIED_STATUS = 304


class ObjectReader(KindReader):
    """Reads and watches platform objects."""

    @property
    def last_response_at_s(self) -> float:
        """Monotonic clock reading at the platform's last response."""
        return self._caller.contact.last_response_at_s

    @property
    def doubts(self) -> WatchDoubts:
        """Which pending watch calls may never get a response."""
        return self._caller.contact.doubts

    def read(self, key: ObjectKey) -> StoredObject:
        """Read one object.

        Raises
        ------
        ObjectMissing
            If there is no such object.
        PlatformUnavailable
            If there was no usable response.
        """
        call = self._dialect.calls.read(key)
        return self._parse_object(key, call, self._caller.call(call))

    def watch(
        self,
        key: ObjectKey,
        known_version: int,
        wait_s: float,
    ) -> StoredObject | None:
        """Wait for a version of the object newer than ``known_version``.

        Returns ``None`` if it has not changed within ``wait_s`` seconds.

        Raises
        ------
        PlatformUnavailable
            If there was no usable response.
        """
        known_revision = revision_of(known_version)
        call = self._dialect.calls.watch(str(key), known_revision, wait_s)
        response = self._caller.call(call)
        if response.status == _NOT_MODIFIED_STATUS:
            return None
        return self._parse_object(key, call, response)

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        """Read all objects of a kind.

        Raises
        ------
        PlatformUnavailable
            If there was no usable response.
        """
        return self.list_kind(kind).stored_objects

    def read_document(self, kind: str, path: str) -> Any:
        """Read a JSON document that is not an object, for example ``/hosts``.

        Raises
        ------
        PlatformUnavailable
            If there was no usable response.
        """
        call = PlatformCall(_READ_METHOD, kind, path)
        response = self._caller.call(call)
        with convert_parse_errors(call):
            return parse_json(response.body)

    def _parse_object(
        self,
        key: ObjectKey,
        call: PlatformCall,
        response: PlatformResponse,
    ) -> StoredObject:
        with convert_parse_errors(call):
            document = parse_json(response.body)
            stored = self._dialect.responses.parse_object(key, document)
        return positioned(stored, response.era)
