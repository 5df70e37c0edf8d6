"""Applies the watched entries of runners to the runner table."""

from __future__ import annotations

from collections.abc import Mapping

import eventlet

from cowslipstep.fleet import DiscoveredRunner
from cowslipstep.platform import KindChanges, ObjectPage, era_of
from cowslipstep.serving._runner_table import RunnerEntries


class RunnerObserver:
    """Applies the entries and changes that a watch delivers.

    Parameters
    ----------
    entries
        Entries of the runner table.
    registration_s
        How long an entry that is missing after an outage is kept, seconds:
        live runners write it again within this time.
    """

    def __init__(
        self,
        entries: RunnerEntries,
        registration_s: float,
    ) -> None:
        self._entries = entries
        self._registration_s = registration_s

    def on_outage(self) -> None:
        """Record that the platform cannot be reached."""
        self._entries.table.platform_lost = True

    def replace(self, page: ObjectPage) -> None:
        """Replace all entries; after an outage missing ones expire later.

        A store that came back from an older copy lacks entries as well.
        """
        table = self._entries.table
        if page.revision < table.revision:
            # A peer's copy has brought the table further than this page; the
            # watch continues from the page.
            table.platform_lost = False
            return
        is_restored = era_of(page.revision) > era_of(table.revision)
        table.advance(page.revision)
        missing = dict(table.runners)
        for stored in page.stored_objects:
            missing.pop(stored.key.name, None)
        if table.platform_lost or is_restored:
            eventlet.spawn_after(self._registration_s, self._expire, missing)
        else:
            self._expire(missing)
        for entry in page.stored_objects:
            self._entries.put(entry.key.name, entry.body)
        table.platform_lost = False

    def apply(self, changes: KindChanges) -> None:
        """Apply changes of entries."""
        table = self._entries.table
        if changes.revision < table.revision:
            # A peer's copy already included these changes.
            return
        table.advance(changes.revision)
        for change in changes.changes:
            name = change.stored_object.key.name
            if change.removed:
                self._entries.remove(name)
            else:
                self._entries.put(name, change.stored_object.body)

    def _expire(self, missing: Mapping[str, DiscoveredRunner]) -> None:
        """Remove runners that have not registered again since."""
        runners = self._entries.table.runners
        for name, runner in missing.items():
            if runners.get(name) is runner:
                self._entries.expire(name)
