"""The object API whose objects are JSON texts with a version."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.platform._calls import CALL_TIMEOUT_S, PlatformCall
from cowslipstep.platform._dialect import (
    KindChanges,
    ObjectChange,
    ObjectPage,
    StoreDialect,
)
from cowslipstep.platform._objects import ObjectKey, StoredObject

_READ_METHOD = 'GET'
_MIN_SERVER_ERROR_STATUS = 500


class TextCalls:
    """Builds the calls of this API."""

    def create(self, key: ObjectKey, body: str) -> PlatformCall:
        """Return the call that creates an object."""
        return PlatformCall('POST', key.kind, f'/objects/{key}', _body(body))

    def update(self, key: ObjectKey, version: int, body: str) -> PlatformCall:
        """Return the call that replaces an object of that version."""
        path = f'/objects/{key}?version={version}'
        return PlatformCall('PUT', key.kind, path, _body(body))

    def delete(self, key: ObjectKey, version: int) -> PlatformCall:
        """Return the call that deletes an object of that version."""
        path = f'/objects/{key}?version={version}'
        return PlatformCall('DELETE', key.kind, path)

    def read(self, key: ObjectKey) -> PlatformCall:
        """Return the call that reads an object."""
        return PlatformCall(_READ_METHOD, key.kind, f'/objects/{key}')

    def read_page(
        self,
        kind: str,
        after: str,
        *,
        stale: bool = False,
    ) -> PlatformCall:
        """Return the call that lists all objects of a kind.

        This API has no pages and no stale responses.
        """
        return PlatformCall(_READ_METHOD, kind, f'/objects/{kind}')

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> PlatformCall:
        """Return the call that waits for a change of one object.

        Here ``kind`` is the key of the object, since this API cannot watch
        a whole kind.
        """
        return PlatformCall(
            _READ_METHOD,
            kind.partition('/')[0],
            f'/objects/{kind}?after={revision}&wait_s={wait_s}',
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )


class TextResponses:
    """Parses the responses of this API."""

    def parse_object(self, key: ObjectKey, document: Any) -> StoredObject:
        """Parse an object."""
        return StoredObject(key, document['version'], document.get('body', ''))

    def parse_page(self, kind: str, document: Any) -> ObjectPage:
        """Parse the list of a kind, which is a single page."""
        stored_objects = tuple(
            self.parse_object(ObjectKey(kind, entry['name']), entry)
            for entry in document['objects']
        )
        newest = max((stored.version for stored in stored_objects), default=0)
        return ObjectPage(stored_objects, '', newest)

    def parse_changes(self, kind: str, document: Any) -> KindChanges:
        """Parse the changed object in the response to a watch."""
        name = kind.partition('/')[2]
        stored = self.parse_object(ObjectKey(kind, name), document)
        return KindChanges(
            (ObjectChange(stored, removed=False),), stored.version
        )

    def era(self, _headers: Mapping[str, str]) -> None:
        """Return no era: a store with this API is never restored."""

    def verdict_of_status(self, status: int) -> NotRun | MayHaveRun:
        """Return whether a change may have taken effect, by error status."""
        if status >= _MIN_SERVER_ERROR_STATUS:
            return MayHaveRun(Reason.platform_down)
        return NotRun(Reason.platform_down)


TEXT_DIALECT = StoreDialect(TextCalls(), TextResponses())


def _body(body: str) -> str:
    return json.dumps({'body': body})
