"""Runners that have registered themselves, as last told."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from cowslipstep.model import (
    DiscoveredRunner,
    DocumentError,
    RunnerDocument,
    RunnersCopy,
)
from cowslipstep.platform import (
    KindChanges,
    ObjectKey,
    ObjectPage,
    StoredObject,
)

_Decode = Callable[[str, str], DiscoveredRunner]


class RunnerDirectory:
    """Follows the entries of runners.

    Parameters
    ----------
    decode
        Reads an entry.
    registration_s
        How long an entry that is missing after an outage is kept.
    clock
        Monotonic clock, seconds.
    on_change
        Called after each change.
    """

    def __init__(
        self,
        decode: _Decode,
        registration_s: float,
        clock: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._decode = decode
        self._registration_s = registration_s
        self._clock = clock
        self._on_change = on_change
        self._runners: dict[str, DiscoveredRunner] = {}
        self._documents: dict[str, str] = {}
        self._missing_s: dict[str, float] = {}
        self._lost = False
        self._known = False
        self._revision = 0

    @property
    def known(self) -> bool:
        """Whether the entries were read at least once."""
        return self._known

    @property
    def revision(self) -> int:
        """Revision of the store up to which changes are known."""
        return self._revision

    @property
    def lost(self) -> bool:
        """Whether the platform cannot be reached."""
        return self._lost

    @property
    def runners(self) -> dict[str, DiscoveredRunner]:
        """All runners by name, without those that are gone."""
        self._drop_missing()
        return self._runners

    def lose(self) -> None:
        """Note that the platform cannot be reached."""
        self._lost = True

    def copy(self) -> RunnersCopy:
        """Return all entries, for a peer that cannot reach the platform."""
        return RunnersCopy(
            self._revision,
            tuple(
                RunnerDocument(name, document)
                for name, document in self._documents.items()
            ),
        )

    def take_copy(self, copy: RunnersCopy) -> None:
        """Take the entries of a peer if they are newer than the own ones."""
        if copy.revision <= self._revision:
            return
        told = {entry.name: entry.document for entry in copy.entries}
        for name in self._runners.keys() - told.keys():
            self._remove(name)
        for name, document in told.items():
            if self._documents.get(name) != document:
                key = ObjectKey('', name)
                self._take(StoredObject(key, copy.revision, document))
        self._revision = copy.revision
        self._known = True
        self._on_change()

    def replace(self, page: ObjectPage) -> None:
        """Take all entries; after an outage missing ones get some time."""
        present = {stored.key.name for stored in page.objects}
        for name in tuple(self._runners):
            if name not in present:
                self._miss(name)
        for stored in page.objects:
            self._take(stored)
        self._lost = False
        self._known = True
        self._revision = page.revision
        self._on_change()

    def apply(self, changes: KindChanges) -> None:
        """Take changes of entries."""
        for change in changes.changes:
            if change.removed:
                self._remove(change.stored.key.name)
            else:
                self._take(change.stored)
        self._revision = changes.revision
        if changes.changes:
            self._on_change()

    def _take(self, stored: StoredObject) -> None:
        name = stored.key.name
        try:
            runner = self._decode(name, stored.body)
        except DocumentError as error:
            logger.warning('entry names no runner to use: {}', error)
            self._remove(name)
            return
        self._missing_s.pop(name, None)
        self._runners[name] = runner
        self._documents[name] = stored.body

    def _remove(self, name: str) -> None:
        self._missing_s.pop(name, None)
        self._documents.pop(name, None)
        if self._runners.pop(name, None) is not None:
            logger.info('runner {} is gone', name)
            self._on_change()

    def _miss(self, name: str) -> None:
        if self._lost:
            self._missing_s.setdefault(name, self._clock())
            return
        self._remove(name)

    def _drop_missing(self) -> None:
        if not self._missing_s:
            return
        oldest_s = self._clock() - self._registration_s
        for name, missing_s in tuple(self._missing_s.items()):
            if missing_s < oldest_s:
                self._remove(name)
