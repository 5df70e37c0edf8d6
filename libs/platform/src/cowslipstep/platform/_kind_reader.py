"""Lists and watches of all objects of one kind."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.platform._caller import PlatformCaller
from cowslipstep.platform._calls import PlatformCall
from cowslipstep.platform._dialect import (
    KindChanges,
    ObjectPage,
    StoreDialect,
)
from cowslipstep.platform._json_documents import (
    convert_parse_errors,
    parse_json,
)
from cowslipstep.platform._objects import HistoryGone, StoredObject
from cowslipstep.platform._store_eras import (
    StoreEras,
    era_of,
    position,
    revision_of,
)


def positioned(stored: StoredObject, era: int | None) -> StoredObject:
    """Return an object with its position in place of its revision."""
    return evolve(stored, version=position(era, stored.version))


class KindReader:
    """Lists and watches the objects of a kind.

    Parameters
    ----------
    caller
        Sends the calls.
    dialect
        Builds calls and parses responses.
    """

    def __init__(self, caller: PlatformCaller, dialect: StoreDialect) -> None:
        self._caller = caller
        self._dialect = dialect

    @property
    def eras(self) -> StoreEras:
        """Eras that the responses of the store name."""
        return self._caller.contact.eras

    def list_kind(self, kind: str, *, stale: bool = False) -> ObjectPage:
        """Read all objects of a kind, and the revision from which to watch.

        The revision is that of the first page, so that a watch repeats the
        changes made while the other pages were read. A stale list may be
        seconds old; a watch from its revision returns the later changes.

        Raises
        ------
        PlatformUnavailable
            If there was no usable response.
        """
        first = self._read_page(kind, '', stale=stale)
        stored_objects = list(first.stored_objects)
        page = first
        while page.continue_after:
            page = self._read_page(kind, page.continue_after, stale=stale)
            stored_objects.extend(page.stored_objects)
        return ObjectPage(tuple(stored_objects), '', first.revision)

    def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> KindChanges:
        """Wait up to ``wait_s`` seconds for changes of a kind after a revision.

        The changes returned are empty if there were none in that time.

        Raises
        ------
        HistoryGone
            If the platform no longer keeps these changes, or has come back
            from an older copy since that revision.
        PlatformUnavailable
            If there was no usable response.
        """
        call = self._dialect.calls.watch(kind, revision_of(revision), wait_s)
        self._raise_if_restored(call, revision)
        response = self._caller.call(call)
        self._raise_if_restored(call, revision)
        with convert_parse_errors(call):
            document = parse_json(response.body)
            changes = self._dialect.responses.parse_changes(kind, document)
        return KindChanges(
            tuple(
                evolve(
                    change,
                    stored_object=positioned(
                        change.stored_object, response.era
                    ),
                )
                for change in changes.changes
            ),
            position(response.era, changes.revision),
        )

    def _read_page(self, kind: str, after: str, *, stale: bool) -> ObjectPage:
        call = self._dialect.calls.read_page(kind, after, stale=stale)
        response = self._caller.call(call)
        with convert_parse_errors(call):
            document = parse_json(response.body)
            page = self._dialect.responses.parse_page(kind, document)
        return evolve(
            page,
            stored_objects=tuple(
                positioned(stored, response.era)
                for stored in page.stored_objects
            ),
            revision=position(response.era, page.revision),
        )

    def _raise_if_restored(self, call: PlatformCall, revision: int) -> None:
        if era_of(revision) < self.eras.newest:
            raise HistoryGone(f'{call}: of an earlier era of the store')
