"""What a daemon has seen of parts of prompts: responses and their share."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable

from cowslipstep.routing.prompts._combinations import unknown_share
from cowslipstep.routing.prompts._records import (
    EVIDENCE_LIFETIME_S,
    RecordedFailure,
)

# Parts that are remembered as sound, those of the latest responses.
_MAX_SOUND_PARTS = 20000
# Requests over which the share of a part is taken.
_WINDOW_REQUESTS = 512
# With fewer requests, it is not known how common a part is.
_MIN_REQUESTS = 50


class _SoundParts:
    """When a response with a part began last.

    A harmful part ends its upstream whatever else a request holds, so that any
    response that begins shows that all of its parts are sound, before or after
    a failure.
    """

    def __init__(self) -> None:
        self._last_begun_s: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str], now_s: float) -> None:
        """Record a response that has begun."""
        for part in parts:
            self._last_begun_s[part] = now_s
            self._last_begun_s.move_to_end(part)
        while len(self._last_begun_s) > _MAX_SOUND_PARTS:
            self._last_begun_s.popitem(last=False)

    def begun_since(
        self, parts: Iterable[str], since_s: float
    ) -> frozenset[str]:
        """Return the parts with which a response has begun since then."""
        return frozenset(
            part
            for part in parts
            if self._last_begun_s.get(part, since_s) > since_s
        )


class _PartTraffic:
    """Shares of the latest requests that hold a part."""

    def __init__(self) -> None:
        self._requests: deque[tuple[str, ...]] = deque()
        self._counts: Counter[str] = Counter()

    def add(self, parts: Iterable[str]) -> None:
        """Add a request."""
        distinct = tuple(dict.fromkeys(parts))
        self._requests.append(distinct)
        self._counts.update(distinct)
        if len(self._requests) > _WINDOW_REQUESTS:
            self._drop(self._requests.popleft())

    def share(self, part: str) -> float:
        """Return the share of a part, or an assumed one."""
        if len(self._requests) < _MIN_REQUESTS:
            return unknown_share(part)
        return self._counts[part] / len(self._requests)

    def _drop(self, oldest: tuple[str, ...]) -> None:
        self._counts.subtract(oldest)
        for part in oldest:
            if not self._counts[part]:
                self._counts.pop(part)


class KnownParts:
    """What a daemon has seen of parts: responses, and how common they are.

    Times are those of the system clock, seconds.

    Examples
    --------
    >>> known = KnownParts()
    >>> known.record_response(('greeting',), 10)
    >>> known.unclear(('greeting', 'letter'), 11)
    ('letter',)
    """

    def __init__(self) -> None:
        self._sound = _SoundParts()
        self._traffic = _PartTraffic()

    def add_request(self, parts: Iterable[str]) -> None:
        """Count a new request."""
        self._traffic.add(parts)

    def record_response(self, parts: Iterable[str], now_s: float) -> None:
        """Record a response that has begun."""
        self._sound.record(parts, now_s)

    def share(self, part: str) -> float:
        """Return the share of the latest requests that hold a part."""
        return self._traffic.share(part)

    def sound(self, parts: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the parts with which responses have begun lately."""
        return self._sound.begun_since(parts, now_s - EVIDENCE_LIFETIME_S)

    def unclear(self, parts: Iterable[str], now_s: float) -> tuple[str, ...]:
        """Return the parts that may have ended an upstream."""
        listed = tuple(parts)
        sound = self.sound(listed, now_s)
        return tuple(part for part in listed if part not in sound)

    def without_sound(
        self, record: RecordedFailure, since_s: float
    ) -> RecordedFailure:
        """Return a record without the parts that were sound after a time."""
        return record.without(
            self._sound.begun_since(record.failure.parts, since_s)
        )
