"""Which group probably holds the head of a prompt in its cache."""

from __future__ import annotations

import collections

_MAX_PREFIXES = 20000


class PrefixMap:
    """Groups by hash of the prompt's head; only hints, never certain.

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
        """Remember that a group has seen a prefix; zero is no prefix."""
        if not prefix_hash:
            return
        self._groups[prefix_hash] = group
        self._groups.move_to_end(prefix_hash)
        if len(self._groups) > _MAX_PREFIXES:
            self._groups.popitem(last=False)

    def record_hint(self, prefix_hash: int, group: str) -> None:
        """Note what a group said of itself, unless something is known."""
        if prefix_hash not in self._groups:
            self.record(prefix_hash, group)

    def find(self, prefix_hash: int) -> str:
        """Return the group that probably holds a prefix, or nothing."""
        return self._groups.get(prefix_hash, '')
