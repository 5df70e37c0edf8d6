"""In-memory platform that counts its calls."""

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

_CALL_DURATION_S = 0.004


@define
class MemoryPlatform:
    """Stores objects in memory; each call takes 4 ms.

    Attributes
    ----------
    reads, writes
        Number of calls.
    largest_bytes
        Size of the largest object that was written.
    """

    reads: int = 0
    writes: int = 0
    largest_bytes: int = 0
    _stored: dict[ObjectKey, StoredObject] = field(factory=dict)
    _versions: Iterator[int] = field(factory=lambda: itertools.count(1))

    @property
    def last_response_at_s(self) -> float:
        """Time of the last response; this platform always responds."""
        return time.monotonic()

    def read(self, key: ObjectKey) -> StoredObject:
        """Read an object."""
        self.reads += 1
        eventlet.sleep(_CALL_DURATION_S)
        if key not in self._stored:
            raise ObjectMissing(str(key))
        return self._stored[key]

    def create(self, key: ObjectKey, body: str) -> int:
        """Create an object."""
        return self.update(key, 0, body)

    def update(self, key: ObjectKey, version: int, body: str) -> int:
        """Replace an object if it has that version."""
        self.writes += 1
        eventlet.sleep(_CALL_DURATION_S)
        if version != self._stored_version(key):
            raise VersionConflict(str(key))
        stored = StoredObject(key, next(self._versions), body)
        self._stored[key] = stored
        self.largest_bytes = max(self.largest_bytes, len(body))
        return stored.version

    def _stored_version(self, key: ObjectKey) -> int:
        stored = self._stored.get(key)
        return 0 if stored is None else stored.version
