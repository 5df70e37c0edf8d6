"""Index object of this daemon, which lists its status objects."""

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
class _Stored:
    version: int
    statuses: tuple[str, ...]


class StatusIndexObject:
    """Keeps the index object; daemons of one name share it in turn.

    Parameters
    ----------
    platform
        Client of the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform
        self._known: _Stored | None = None
        self._next_write_s = time.monotonic()

    def write_if_due(self, index: StatusIndex) -> None:
        """Write the index if it names a new object, or when it is time.

        Objects that are older than what is kept are deleted and no longer
        named.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        named = () if self._known is None else self._known.statuses
        new = set(index.statuses) - set(named)
        due = time.monotonic() >= self._next_write_s
        if new or due or index.stopping:
            self._next_write_s = time.monotonic() + index.period_s
            whole = dict.fromkeys((*named, *index.statuses))
            self._write(evolve(index, statuses=tuple(whole)))

    def _write(self, index: StatusIndex) -> None:
        key = ObjectKey(INDEX_KIND, index.daemon.name)
        try:
            self._put(key, self._known, index)
        except (VersionConflict, ObjectMissing):
            # A former daemon of that name wrote it, or an answer was lost.
            self._known = None
            stored = self._platform.read(key)
            statuses = decode_index(stored.body).statuses
            whole = tuple(dict.fromkeys((*statuses, *index.statuses)))
            found = _Stored(stored.version, statuses)
            self._put(key, found, evolve(index, statuses=whole))

    def _put(
        self,
        key: ObjectKey,
        known: _Stored | None,
        index: StatusIndex,
    ) -> None:
        kept = tuple(self._prune(index.statuses))
        body = encode_index(evolve(index, statuses=kept))
        if known is None:
            version = self._platform.create(key, body)
        else:
            version = self._platform.update(key, known.version, body)
        self._known = _Stored(version, kept)

    def _prune(self, names: Iterable[str]) -> Iterable[str]:
        for name in names:
            if is_expired(name):
                delete_status(self._platform, name)
            else:
                yield name
