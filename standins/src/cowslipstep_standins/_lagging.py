"""What an engine publishes late: cache events, with gaps, and its load."""

from __future__ import annotations

import hashlib
import itertools
from typing import Any

from attrs import define, field, frozen

_PREFIX_CHARS = 64
_LAG_S = 1
_EVENTS_PER_GAP = 8


@frozen
class CacheEvent:
    """A prefix that was cached; ``number`` counts lost events as well."""

    number: int
    prefix: str
    at_s: float


@define
class CacheEvents:
    """Cached prefixes, published a second late; one in eight is lost."""

    _numbers: Any = field(factory=lambda: itertools.count(1))
    _events: list[CacheEvent] = field(factory=list)

    def note(self, prompt: str, now_s: float) -> None:
        """Remember that the head of a prompt is cached now."""
        number = next(self._numbers)
        if number % _EVENTS_PER_GAP == 0:
            return
        head = prompt[:_PREFIX_CHARS].encode()
        digest = hashlib.sha256(head).hexdigest()
        self._events.append(CacheEvent(number, digest, now_s))

    def published(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return the events with larger numbers that are published by now."""
        return [
            event
            for event in self._events
            if event.number > after and event.at_s <= now_s - _LAG_S
        ]


@frozen
class LoadSample:
    """Requests that ran and waited at a moment."""

    running: int
    waiting: int
    at_s: float


@define
class LaggedLoad:
    """Load as it was at least a second ago, or at the start."""

    _published: LoadSample = LoadSample(0, 0, 0)
    _newest: LoadSample = LoadSample(0, 0, 0)

    def sample(self, running: int, waiting: int, now_s: float) -> LoadSample:
        """Take a sample and return the one that is published."""
        if now_s - self._newest.at_s >= _LAG_S:
            self._published = self._newest
            self._newest = LoadSample(running, waiting, now_s)
        return self._published
