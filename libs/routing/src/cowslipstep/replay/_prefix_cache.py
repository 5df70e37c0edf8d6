"""Model of an engine's prefix cache and of the events that it publishes."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

_PUBLICATION_DELAY_S = 1
_EVENT_LOSS_INTERVAL = 8


class PrefixCache:
    """Cache of prompt prefixes that evicts the least recently used one.

    Its events are published after a second; one event in eight is lost.

    Parameters
    ----------
    capacity
        Number of cached prefixes; zero turns the cache off.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._event_numbers = itertools.count(1)
        self._events: list[tuple[float, int]] = []

    def access(self, prefix_hash: int, now_s: float) -> bool:
        """Cache the prefix of a prompt; return whether it was cached before."""
        if not (prefix_hash and self._capacity):
            return False
        hit = prefix_hash in self._prefixes
        self._prefixes[prefix_hash] = None
        self._prefixes.move_to_end(prefix_hash)
        if len(self._prefixes) > self._capacity:
            self._prefixes.popitem(last=False)
        if next(self._event_numbers) % _EVENT_LOSS_INTERVAL:
            self._events.append((now_s, prefix_hash))
        return hit

    def published_prefixes(self, now_s: float) -> Iterator[int]:
        """Yield the prefixes of the published events, newest first."""
        for at_s, prefix_hash in reversed(self._events):
            if at_s <= now_s - _PUBLICATION_DELAY_S:
                yield prefix_hash
