"""Table of the registered runners, with a change log for copies."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from loguru import logger

from cowslipstep.fleet import DiscoveredRunner, GroupIndex, GroupId
from cowslipstep.model import DocumentError
from cowslipstep.model.loads import RunnersCopy


@define
class RunnerTable:
    """Registered runners up to a revision of the platform.

    Attributes
    ----------
    runners
        Runners by name.
    groups
        Groups that they report.
    documents
        Their entries as stored at the platform.
    revision
        Revision of the platform up to which changes are applied.
    changed
        Revision at which each entry last changed or was removed.
    complete_from
        Revision from which on ``changed`` covers all changes.
    was_read
        Whether the entries were listed or copied at least once.
    platform_lost
        Whether the platform cannot be reached.
    """

    runners: dict[str, DiscoveredRunner] = field(factory=dict)
    groups: GroupIndex = field(factory=GroupIndex)
    documents: dict[str, str] = field(factory=dict)
    revision: int = 0
    changed: dict[str, int] = field(factory=dict)
    complete_from: int = 0
    was_read: bool = False
    platform_lost: bool = False

    def advance(self, revision: int) -> None:
        """Advance to a revision, before its changes are applied."""
        if not self.was_read:
            self.complete_from = revision
        self.revision = max(self.revision, revision)
        self.was_read = True

    def record_change(self, name: str, revision: int | None = None) -> None:
        """Record a change of an entry, by default at this revision."""
        self.changed[name] = self.revision if revision is None else revision


def _ignore(
    _former: DiscoveredRunner | None, _present: DiscoveredRunner | None
) -> None:
    """Ignore an entry."""


class RunnerEntries:
    """Decodes entries of runners into the table.

    Parameters
    ----------
    table
        The table.
    decode
        Decodes an entry.
    on_change
        Called after each change with the groups that it affects.
    on_entry
        Called with the former and the present entry of each runner that has
        a new one or is removed.
    """

    def __init__(
        self,
        table: RunnerTable,
        decode: Callable[[str, str], DiscoveredRunner],
        on_change: Callable[[set[GroupId]], object],
        on_entry: Callable[
            [DiscoveredRunner | None, DiscoveredRunner | None], object
        ] = _ignore,
    ) -> None:
        self._table = table
        self._decode = decode
        self._on_change = on_change
        self._on_entry = on_entry
        # Hashes of the invalid entries: those may be long.
        self._invalid_entries: dict[str, int] = {}

    @property
    def table(self) -> RunnerTable:
        """The table."""
        return self._table

    def put(self, name: str, document: str) -> None:
        """Set the entry of a runner; an invalid one removes the runner."""
        if self._is_known(name, document):
            return
        try:
            runner = self._decode(name, document)
        except DocumentError as error:
            self.remove(name)
            self._invalid_entries[name] = hash(document)
            logger.warning(
                'invalid runner entry, runner removed until it is valid: {}',
                error,
            )
            return
        self._invalid_entries.pop(name, None)
        self._on_entry(self._table.runners.get(name), runner)
        self._table.runners[name] = runner
        self._table.documents[name] = document
        self._table.record_change(name)
        self._on_change(self._table.groups.put(runner))

    def remove(self, name: str) -> None:
        """Remove a runner."""
        self._invalid_entries.pop(name, None)
        if self._table.documents.pop(name, None) is not None:
            self._table.record_change(name)
        runner = self._table.runners.pop(name, None)
        if runner is not None:
            self._on_entry(runner, None)
            logger.info('runner {} is gone', name)
            self._on_change(self._table.groups.remove(name))

    def expire(self, name: str) -> None:
        """Remove a runner whose entry did not come back after an outage."""
        self.remove(name)
        # Peers that have this revision already query only for later changes.
        self._table.record_change(name, self._table.revision + 1)

    def apply_copy(self, copy: RunnersCopy) -> None:
        """Apply the copy of a peer if it is newer than the table."""
        if copy.revision <= self._table.revision:
            return
        self._table.advance(copy.revision)
        documents = {entry.name: entry.document for entry in copy.entries}
        removed = set(copy.removed)
        if copy.is_complete:
            removed.update(self._table.runners.keys() - documents.keys())
        for missing in removed:
            self.remove(missing)
        for name, document in documents.items():
            self.put(name, document)

    def _is_known(self, name: str, document: str) -> bool:
        if self._invalid_entries.get(name) == hash(document):
            return True
        return self._table.documents.get(name) == document
