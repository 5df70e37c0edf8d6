"""Daemons that have registered themselves at the platform."""

from __future__ import annotations

from loguru import logger

from cowslipstep.model import DaemonEntry, DocumentError
from cowslipstep.platform import KindChanges, ObjectPage, StoredObject
from cowslipstep.serving._registration import decode_daemon


class DaemonRegistry:
    """Holds the entries of daemons, as watched at the platform.

    Parameters
    ----------
    own
        The entry of this daemon.
    """

    def __init__(self, own: DaemonEntry) -> None:
        self._own = own
        self._entries: dict[str, DaemonEntry] = {}
        self._was_read = False

    @property
    def listed(self) -> int:
        """Number of the entries that were read, the own one included."""
        return len(self._entries)

    @property
    def was_read(self) -> bool:
        """Whether the entries were listed at least once."""
        return self._was_read

    @property
    def others(self) -> dict[str, DaemonEntry]:
        """Entries of the other daemons by name."""
        return {
            name: entry
            for name, entry in self._entries.items()
            if name != self._own.name
        }

    def replace(self, page: ObjectPage) -> None:
        """Replace all entries."""
        self._was_read = True
        self._entries.clear()
        for stored in page.stored_objects:
            _put(self._entries, stored)

    def apply(self, changes: KindChanges) -> None:
        """Apply changes of entries."""
        for change in changes.changes:
            if change.removed:
                self._entries.pop(change.stored_object.key.name, None)
            else:
                _put(self._entries, change.stored_object)

    def on_outage(self) -> None:
        """Keep the entries during an outage of the platform."""


def _put(entries: dict[str, DaemonEntry], stored: StoredObject) -> None:
    try:
        entry = decode_daemon(stored)
    except DocumentError as error:
        logger.warning('invalid daemon entry ignored: {}', error)
        return
    entries[entry.name] = entry
