"""Reads and watches of platform objects."""

from __future__ import annotations

from typing import Any

from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._caller import PlatformCaller
from cowslipstep.platform._dialect import (
    KindChanges,
    ObjectPage,
    StoreDialect,
)
from cowslipstep.platform._objects import ObjectKey, StoredObject

_READ = 'GET'
_NOT_MODIFIED = 304


class ObjectReader:
    """Reads and watches platform objects.

    Parameters
    ----------
    caller
        Sends the calls.
    dialect
        Writes calls and reads answers.
    """

    def __init__(self, caller: PlatformCaller, dialect: StoreDialect) -> None:
        self._caller = caller
        self._dialect = dialect

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
        answer = self._caller.call(self._dialect.read(key))
        return self._dialect.stored(key, answer.json())

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
        call = self._dialect.watch(str(key), known_version, wait_s)
        answer = self._caller.call(call)
        if answer.status == _NOT_MODIFIED:
            return None
        return self._dialect.stored(key, answer.json())

    def read_all(self, kind: str) -> tuple[StoredObject, ...]:
        """Read all objects of a kind.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        return self.list_kind(kind).objects

    def list_kind(self, kind: str) -> ObjectPage:
        """Read all objects of a kind and the revision from which to watch.

        The revision is that of the first part, so that a change between
        two parts is told again by the watch.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        page = self._read_page(kind, '')
        objects = list(page.objects)
        revision = page.revision
        while page.next_name:
            page = self._read_page(kind, page.next_name)
            objects.extend(page.objects)
        return ObjectPage(tuple(objects), '', revision)

    def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> KindChanges:
        """Wait for changes of a kind behind ``revision``; none may come.

        Raises
        ------
        HistoryGone
            If these changes are no longer kept.
        PlatformUnavailable
            If there was no answer.
        """
        call = self._dialect.watch(kind, revision, wait_s)
        return self._dialect.changes(kind, self._caller.call(call).json())

    def read_document(self, kind: str, path: str) -> Any:
        """Read a JSON document that is no object, for example ``/hosts``.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        return self._caller.call(PlatformCall(_READ, kind, path)).json()

    def _read_page(self, kind: str, after: str) -> ObjectPage:
        answer = self._caller.call(self._dialect.read_page(kind, after))
        return self._dialect.page(kind, answer.json())
