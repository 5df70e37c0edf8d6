"""A platform held in memory that counts its calls."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator

import eventlet
from attrs import define, field

from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    StoredObject,
    VersionConflict,
)

_CALL_S = 0.004


@define
class MemoryPlatform:
    """Counts calls; each takes a few milliseconds."""

    reads: int = 0
    writes: int = 0
    largest_bytes: int = 0
    _stored: dict[ObjectKey, StoredObject] = field(factory=dict)
    _versions: Iterator[int] = field(factory=lambda: itertools.count(1))

    @property
    def last_response_at_s(self) -> float:
        """Clock reading of the last answer; it always answers."""
        return time.monotonic()

    def read(self, key: ObjectKey) -> StoredObject:
        """Read an object."""
        self.reads += 1
        eventlet.sleep(_CALL_S)
        if key not in self._stored:
            raise ObjectMissing(str(key))
        return self._stored[key]

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object."""
        return self.update(key, 0, body)

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object of that version."""
        self.writes += 1
        eventlet.sleep(_CALL_S)
        if version != self._known_version(key):
            raise VersionConflict(str(key))
        stored = StoredObject(key, next(self._versions), body)
        self._stored[key] = stored
        self.largest_bytes = max(self.largest_bytes, len(body))
        return stored.version

    def _known_version(self, key: ObjectKey) -> int:
        known = self._stored.get(key)
        return 0 if known is None else known.version
