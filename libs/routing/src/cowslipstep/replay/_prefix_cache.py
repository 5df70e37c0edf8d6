"""Model of an engine's cache of prompt heads and of its events."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

_LAG_S = 1
_EVENTS_PER_GAP = 8


class PrefixCache:
    """Keeps the prompt heads that were used last.

    Parameters
    ----------
    capacity
        Number of heads kept.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._heads: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int]] = []

    def use(self, prefix_hash: int, now_s: float) -> bool:
        """Read a prompt; return whether its head was cached."""
        if not (prefix_hash and self._capacity):
            return False
        hit = prefix_hash in self._heads
        self._heads[prefix_hash] = None
        self._heads.move_to_end(prefix_hash)
        if len(self._heads) > self._capacity:
            self._heads.popitem(last=False)
        if next(self._numbers) % _EVENTS_PER_GAP:
            self._events.append((now_s, prefix_hash))
        return hit

    def published(self, now_s: float) -> Iterator[int]:
        """Yield the heads of the published events, the newest first."""
        for at_s, prefix_hash in reversed(self._events):
            if at_s <= now_s - _LAG_S:
                yield prefix_hash
