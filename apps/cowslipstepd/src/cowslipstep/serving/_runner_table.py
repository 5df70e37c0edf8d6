"""Runners that have registered themselves, as last told."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from loguru import logger

from cowslipstep.fleet import DiscoveredRunner
from cowslipstep.model import DocumentError
from cowslipstep.model.loads import RunnerDocument, RunnersCopy


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
    known
        Whether the entries were read at least once.
    lost
        Whether the platform cannot be reached.
    """

    runners: dict[str, DiscoveredRunner] = field(factory=dict)
    documents: dict[str, str] = field(factory=dict)
    revision: int = 0
    known: bool = False
    lost: bool = False


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
        try:
            runner = self._decode(name, document)
        except DocumentError as error:
            logger.warning('entry names no runner to use: {}', error)
            self.remove(name)
            return
        self._table.runners[name] = runner
        self._table.documents[name] = document
        self._on_change()

    def remove(self, name: str) -> None:
        """Forget a runner."""
        self._table.documents.pop(name, None)
        if self._table.runners.pop(name, None) is not None:
            logger.info('runner {} is gone', name)
            self._on_change()

    def advance(self, revision: int) -> None:
        """Note that all changes up to a revision are in the table."""
        self._table.revision = revision
        self._table.known = True

    def copy(self) -> RunnersCopy:
        """Return all entries, for a peer that cannot reach the platform."""
        return RunnersCopy(
            self._table.revision,
            tuple(
                RunnerDocument(name, document)
                for name, document in self._table.documents.items()
            ),
        )

    def take_copy(self, copy: RunnersCopy) -> None:
        """Take the entries of a peer if they are newer than the own ones."""
        if copy.revision <= self._table.revision:
            return
        told = {entry.name: entry.document for entry in copy.entries}
        for missing in self._table.runners.keys() - told.keys():
            self.remove(missing)
        for name, document in told.items():
            if self._table.documents.get(name) != document:
                self.take(name, document)
        self.advance(copy.revision)
