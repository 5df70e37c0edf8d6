"""Runners that have registered themselves, as last told."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from loguru import logger

from cowslipstep.fleet import DiscoveredRunner
from cowslipstep.model import DocumentError
from cowslipstep.model.loads import RunnersCopy


@define
class RunnerTable:
    """What is known of runners.

    Attributes
    ----------
    runners
        Runners by name.
    documents
        Their entries as the platform holds them.
    revision
        Revision of the platform up to which changes are known.
    changed
        Revision at which each entry last changed or was removed.
    complete_from
        Revision since which ``changed`` tells of all changes.
    known
        Whether the entries were read at least once.
    lost
        Whether the platform cannot be reached.
    """

    runners: dict[str, DiscoveredRunner] = field(factory=dict)
    documents: dict[str, str] = field(factory=dict)
    revision: int = 0
    changed: dict[str, int] = field(factory=dict)
    complete_from: int = 0
    known: bool = False
    lost: bool = False

    def advance(self, revision: int) -> None:
        """Begin to take changes up to a revision."""
        if not self.known:
            self.complete_from = revision
        self.revision = max(self.revision, revision)
        self.known = True

    def note_changed(self, name: str, revision: int | None = None) -> None:
        """Note that an entry has changed, by default with this revision."""
        self.changed[name] = self.revision if revision is None else revision


class RunnerEntries:
    """Puts entries into the table, and copies them for peers.

    Parameters
    ----------
    table
        The table.
    decode
        Reads an entry.
    on_change
        Called after each change.
    """

    def __init__(
        self,
        table: RunnerTable,
        decode: Callable[[str, str], DiscoveredRunner],
        on_change: Callable[[], None],
    ) -> None:
        self._table = table
        self._decode = decode
        self._on_change = on_change

    @property
    def table(self) -> RunnerTable:
        """The table."""
        return self._table

    def take(self, name: str, document: str) -> None:
        """Take the entry of a runner; one that is broken names none."""
        if self._table.documents.get(name) == document:
            return
        try:
            runner = self._decode(name, document)
        except DocumentError as error:
            logger.warning('entry names no runner to use: {}', error)
            self.remove(name)
            return
        self._table.runners[name] = runner
        self._table.documents[name] = document
        self._table.note_changed(name)
        self._on_change()

    def remove(self, name: str) -> None:
        """Forget a runner."""
        if self._table.documents.pop(name, None) is not None:
            self._table.note_changed(name)
        if self._table.runners.pop(name, None) is not None:
            logger.info('runner {} is gone', name)
            self._on_change()

    def drop(self, name: str) -> None:
        """Forget a runner that the platform has not told of again."""
        self.remove(name)
        # Peers that know this revision shall learn of it with the next one.
        self._table.note_changed(name, self._table.revision + 1)

    def take_copy(self, copy: RunnersCopy) -> None:
        """Take the entries of a peer if they are newer than the own ones."""
        if copy.revision <= self._table.revision:
            return
        self._table.advance(copy.revision)
        told = {entry.name: entry.document for entry in copy.entries}
        removed = set(copy.removed)
        if copy.is_complete:
            removed.update(self._table.runners.keys() - told.keys())
        for missing in removed:
            self.remove(missing)
        for name, document in told.items():
            self.take(name, document)
