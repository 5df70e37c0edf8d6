"""The object API whose objects are texts with a version."""

from __future__ import annotations

import json
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

_READ = 'GET'
_SERVER_ERROR = 500


class TextCalls:
    """Writes its calls."""

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
        return PlatformCall(_READ, key.kind, f'/objects/{key}')

    def read_page(
        self,
        kind: str,
        after: str,
        *,
        stale: bool = False,
    ) -> PlatformCall:
        """Return the call that lists all objects of a kind.

        This API has no stale answers.
        """
        return PlatformCall(_READ, kind, f'/objects/{kind}')

    def watch(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> PlatformCall:
        """Return the call that waits for a change of one object.

        Here ``kind`` is the key of the object, since this API has no
        watches of a whole kind.
        """
        return PlatformCall(
            _READ,
            kind.partition('/')[0],
            f'/objects/{kind}?after={revision}&wait_s={wait_s}',
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )


class TextResponses:
    """Reads its answers."""

    def stored(self, key: ObjectKey, document: Any) -> StoredObject:
        """Read an object from an answer."""
        return StoredObject(key, document['version'], document.get('body', ''))

    def page(self, kind: str, document: Any) -> ObjectPage:
        """Read the list of a kind, which comes in one part."""
        listed = tuple(
            self.stored(ObjectKey(kind, entry['name']), entry)
            for entry in document['objects']
        )
        newest = max((stored.version for stored in listed), default=0)
        return ObjectPage(listed, '', newest)

    def changes(self, kind: str, document: Any) -> KindChanges:
        """Read the object that a watch told of."""
        name = kind.partition('/')[2]
        stored = self.stored(ObjectKey(kind, name), document)
        return KindChanges(
            (ObjectChange(stored, removed=False),), stored.version
        )

    def refusal(self, status: int) -> NotRun | MayHaveRun:
        """Return what an error status says of a change."""
        if status >= _SERVER_ERROR:
            return MayHaveRun(Reason.platform_down)
        return NotRun(Reason.platform_down)


TEXT_DIALECT = StoreDialect(TextCalls(), TextResponses())


def _body(body: str) -> str:
    return json.dumps({'body': body})
