"""Entries of the other daemons, the newest incarnation of each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

from cowslipstep.model import DaemonEntry


class KnownDaemons:
    """Entries of the daemons other than this one, by name.

    Parameters
    ----------
    own_name
        Name of this daemon.
    entries
        Known from the settings; they are never forgotten.

    Examples
    --------
    >>> from cowslipstep.model import Address
    >>> known = KnownDaemons('d0', ())
    >>> known.add(DaemonEntry('d1', Address('127.0.0.1', 80), 'ebene', 5))
    >>> known.remove(['d1'])
    >>> len(known.entries)
    0
    """

    def __init__(self, own_name: str, entries: Iterable[DaemonEntry]) -> None:
        self._own_name = own_name
        self._entries = {entry.name: entry for entry in entries}
        self._settled = frozenset(self._entries)

    @property
    def entries(self) -> Mapping[str, DaemonEntry]:
        """The entries by name."""
        return MappingProxyType(self._entries)

    def add(self, entry: DaemonEntry) -> None:
        """Take over an entry unless a newer one is known.

        A daemon that has taken another's address replaces it.
        """
        rivals = tuple(_rivals(entry, self._entries))
        newest = max((rival.incarnation for rival in rivals), default=0)
        if entry.name == self._own_name or newest > entry.incarnation:
            return
        for rival in rivals:
            self._entries.pop(rival.name)
        self._entries[entry.name] = entry

    def remove(self, names: Iterable[str]) -> None:
        """Drop the entries of some daemons that the settings do not name."""
        for name in frozenset(names) - self._settled:
            self._entries.pop(name, None)


def _rivals(
    entry: DaemonEntry,
    entries: Mapping[str, DaemonEntry],
) -> Iterator[DaemonEntry]:
    for other in entries.values():
        if other.name == entry.name or other.address == entry.address:
            yield other
