"""Index object of this daemon; it lists the daemon's status objects."""

from __future__ import annotations

import time
from collections.abc import Iterable

from attrs import evolve, frozen

from cowslipstep.daemon._expired_statuses import delete_status, is_expired
from cowslipstep.metrics import StatusIndex, decode_index, encode_index
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    VersionConflict,
)

INDEX_KIND = 'status-index'


@frozen
class _StoredIndex:
    version: int
    statuses: tuple[str, ...]


class StatusIndexObject:
    """Writes the index object, which successive daemons of one name share.

    Parameters
    ----------
    platform
        Client of the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._known: _StoredIndex | None = None
        self._next_write_s = time.monotonic()

    def write_if_due(self, index: StatusIndex) -> None:
        """Write the index if it lists a new object, or its period has passed.

        It is also written while the daemon stops. Expired status objects are
        deleted and removed from the index.

        Raises
        ------
        PlatformUnavailable
            If the platform did not respond.
        ObjectMissing
            If the index was deleted since the last write.
        """
        listed = () if self._known is None else self._known.statuses
        new = set(index.statuses) - set(listed)
        due = time.monotonic() >= self._next_write_s
        if new or due or index.stopping:
            self._next_write_s = time.monotonic() + index.period_s
            merged = dict.fromkeys((*listed, *index.statuses))
            self._write(evolve(index, statuses=tuple(merged)))

    def _write(self, index: StatusIndex) -> None:
        key = ObjectKey(INDEX_KIND, index.daemon.name)
        try:
            self._replace(key, self._known, index)
        except (VersionConflict, ObjectMissing):
            # A former daemon of that name wrote the index, or the response to
            # an earlier write was lost. If the object was deleted, the read
            # fails and the next write creates it.
            self._known = None
            stored = self._platform.read(key)
            statuses = decode_index(stored.body).statuses
            merged = tuple(dict.fromkeys((*statuses, *index.statuses)))
            found = _StoredIndex(stored.version, statuses)
            self._replace(key, found, evolve(index, statuses=merged))

    def _replace(
        self,
        key: ObjectKey,
        known: _StoredIndex | None,
        index: StatusIndex,
    ) -> None:
        retained = tuple(self._delete_expired(index.statuses))
        body = encode_index(evolve(index, statuses=retained))
        if known is None:
            version = self._platform.create(key, body)
        else:
            version = self._platform.update(key, known.version, body)
        self._known = _StoredIndex(version, retained)

    def _delete_expired(self, names: Iterable[str]) -> Iterable[str]:
        for name in names:
            if is_expired(name):
                delete_status(self._platform, name)
            else:
                yield name
