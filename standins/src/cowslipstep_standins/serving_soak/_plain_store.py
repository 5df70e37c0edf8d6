"""Plain encoding of a store that lists kinds, also stale, and watches them."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.platform import (
    CALL_TIMEOUT_S,
    KindChanges,
    ObjectChange,
    ObjectKey,
    ObjectPage,
    PlatformCall,
    StoreDialect,
    StoredObject,
)

_READ = 'GET'
_MIN_SERVER_ERROR_STATUS = 500
ERA_HEADER = 'Era'


class PlainCalls:
    """Builds the calls."""

    def create(self, key: ObjectKey, body: str) -> PlatformCall:
        """Return the call that creates an object."""
        return PlatformCall('POST', key.kind, f'/{key}', json.dumps(body))

    def update(self, key: ObjectKey, version: int, body: str) -> PlatformCall:
        """Return the call that replaces an object of that version."""
        path = f'/{key}?version={version}'
        return PlatformCall('PUT', key.kind, path, json.dumps(body))

    def delete(self, key: ObjectKey, version: int) -> PlatformCall:
        """Return the call that deletes an object of that version."""
        return PlatformCall('DELETE', key.kind, f'/{key}?version={version}')

    def read(self, key: ObjectKey) -> PlatformCall:
        """Return the call that reads an object."""
        return PlatformCall(_READ, key.kind, f'/{key}')

    def read_page(
        self, kind: str, _after: str, *, stale: bool = False
    ) -> PlatformCall:
        """Return the call that lists a kind, on one page."""
        return PlatformCall(_READ, kind, f'/{kind}?stale={int(stale)}')

    def watch(self, kind: str, revision: int, wait_s: float) -> PlatformCall:
        """Return the call that waits for changes of a kind."""
        return PlatformCall(
            _READ,
            kind,
            f'/{kind}?after={revision}&wait_s={wait_s}',
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )


class PlainResponses:
    """Parses the responses; an object is its name, revision and body."""

    def parse_object(self, key: ObjectKey, document: Any) -> StoredObject:
        """Parse an object."""
        _, revision, body = document
        return StoredObject(key, revision, body)

    def parse_page(self, kind: str, document: Any) -> ObjectPage:
        """Parse a list."""
        listed = tuple(_named(kind, entry) for entry in document['objects'])
        return ObjectPage(listed, '', document['at'])

    def parse_changes(self, kind: str, document: Any) -> KindChanges:
        """Parse changes."""
        changes = tuple(
            ObjectChange(_named(kind, entry), removed)
            for entry, removed in document['changes']
        )
        return KindChanges(changes, document['at'])

    def era(self, headers: Mapping[str, str]) -> int:
        """Return the era that a response names."""
        return int(headers[ERA_HEADER])

    def verdict_of_status(self, status: int) -> NotRun | MayHaveRun:
        """Return whether a change may have taken effect."""
        if status >= _MIN_SERVER_ERROR_STATUS:
            return MayHaveRun(Reason.platform_down)
        return NotRun(Reason.platform_down)


PLAIN_STORE = StoreDialect(PlainCalls(), PlainResponses())


def _named(kind: str, entry: Any) -> StoredObject:
    name, revision, body = entry
    return StoredObject(ObjectKey(kind, name), revision, body)
