"""Cache events, with gaps, and load, both published with a delay."""

from __future__ import annotations

import hashlib
import itertools
from typing import Any

from attrs import define, field, frozen

_PREFIX_CHARS = 64
_PUBLICATION_DELAY_S = 1
_EVENTS_PER_GAP = 8


@frozen
class CacheEvent:
    """A prompt prefix that was cached; lost events use a ``number`` as well."""

    number: int
    prefix: str
    at_s: float


@define
class CacheEvents:
    """Cached prefixes, published a second late; one event in eight is lost."""

    _numbers: Any = field(factory=lambda: itertools.count(1))
    _events: list[CacheEvent] = field(factory=list)

    def record(self, prompt: str, now_s: float) -> None:
        """Record that the prefix of a prompt is cached now."""
        number = next(self._numbers)
        if number % _EVENTS_PER_GAP == 0:
            return
        prefix = prompt[:_PREFIX_CHARS].encode()
        digest = hashlib.sha256(prefix).hexdigest()
        self._events.append(CacheEvent(number, digest, now_s))

    def published(self, after: int, now_s: float) -> list[CacheEvent]:
        """Return the published events with numbers larger than ``after``."""
        return [
            event
            for event in self._events
            if event.number > after
            and event.at_s <= now_s - _PUBLICATION_DELAY_S
        ]


@frozen
class LoadSample:
    """Number of running and waiting requests at one time."""

    running: int
    waiting: int
    at_s: float


@define
class DelayedLoad:
    """Load of at least one second ago; zero until then."""

    _published: LoadSample = LoadSample(0, 0, 0)
    _newest: LoadSample = LoadSample(0, 0, 0)

    def sample(self, running: int, waiting: int, now_s: float) -> LoadSample:
        """Take a sample, at most one a second, and return the published one."""
        if now_s - self._newest.at_s >= _PUBLICATION_DELAY_S:
            self._published = self._newest
            self._newest = LoadSample(running, waiting, now_s)
        return self._published
