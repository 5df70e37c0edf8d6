"""Prefix affinity: which group probably has a prompt's beginning cached."""

from __future__ import annotations

import collections

_MAX_PREFIXES = 20000


class PrefixMap:
    """Groups by the hash of a prompt's beginning.

    An entry is a hint only: the group may have evicted the prefix from its
    cache. The entries that were recorded least recently are dropped first.

    Examples
    --------
    >>> prefixes = PrefixMap()
    >>> prefixes.record(7, 'g1')
    >>> prefixes.find(7)
    'g1'
    """

    def __init__(self) -> None:
        self._groups: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def record(self, prefix_hash: int, group: str) -> None:
        """Record that a group received a prefix; zero stands for none."""
        if not prefix_hash:
            return
        self._groups[prefix_hash] = group
        self._groups.move_to_end(prefix_hash)
        if len(self._groups) > _MAX_PREFIXES:
            self._groups.popitem(last=False)

    def record_hint(self, prefix_hash: int, group: str) -> None:
        """Record a group that published a prefix, unless the prefix has one."""
        if prefix_hash not in self._groups:
            self.record(prefix_hash, group)

    def find(self, prefix_hash: int) -> str:
        """Return the group that probably has a prefix, or an empty text."""
        return self._groups.get(prefix_hash, '')
