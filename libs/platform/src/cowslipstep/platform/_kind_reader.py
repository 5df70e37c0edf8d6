"""Lists and watches of all objects of a kind."""

from __future__ import annotations

from cowslipstep.platform._caller import PlatformCaller
from cowslipstep.platform._dialect import (
    KindChanges,
    ObjectPage,
    StoreDialect,
)


class KindReader:
    """Lists and watches kinds of objects.

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

    def list_kind(self, kind: str, *, stale: bool = False) -> ObjectPage:
        """Read all objects of a kind and the revision from which to watch.

        The revision is that of the first part, so that a change between
        two parts is told again by the watch. A stale list may be seconds
        old; a watch from its revision tells the rest.

        Raises
        ------
        PlatformUnavailable
            If there was no answer.
        """
        first = self._read_page(kind, '', stale=stale)
        listed = list(first.stored_objects)
        page = first
        while page.next_name:
            page = self._read_page(kind, page.next_name, stale=stale)
            listed.extend(page.stored_objects)
        return ObjectPage(tuple(listed), '', first.revision)

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
        call = self._dialect.calls.watch(kind, revision, wait_s)
        answer = self._caller.call(call).json()
        return self._dialect.responses.parse_changes(kind, answer)

    def _read_page(self, kind: str, after: str, *, stale: bool) -> ObjectPage:
        call = self._dialect.calls.read_page(kind, after, stale=stale)
        answer = self._caller.call(call)
        return self._dialect.responses.parse_page(kind, answer.json())
