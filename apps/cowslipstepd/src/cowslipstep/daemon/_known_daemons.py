"""Directory entries of the other daemons, the newest of each."""

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
        Entries from the settings; they are never removed.

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
        self._configured_names = frozenset(self._entries)

    @property
    def entries(self) -> Mapping[str, DaemonEntry]:
        """The entries by name of the daemon."""
        return MappingProxyType(self._entries)

    def add(self, entry: DaemonEntry) -> None:
        """Add an entry unless one of a newer incarnation is known.

        It replaces the entries with the same name or the same address.
        """
        conflicting = tuple(_conflicting(entry, self._entries))
        newest = max(
            (conflict.incarnation for conflict in conflicting), default=0
        )
        if entry.name == self._own_name or newest > entry.incarnation:
            return
        for conflict in conflicting:
            self._entries.pop(conflict.name)
        self._entries[entry.name] = entry

    def remove(self, names: Iterable[str]) -> None:
        """Remove the entries of daemons, except those in the settings."""
        for name in frozenset(names) - self._configured_names:
            self._entries.pop(name, None)


def _conflicting(
    entry: DaemonEntry,
    entries: Mapping[str, DaemonEntry],
) -> Iterator[DaemonEntry]:
    for other in entries.values():
        if other.name == entry.name or other.address == entry.address:
            yield other
