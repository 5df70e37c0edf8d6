"""Times in which an upstream that turned a request away wants no others.

Load pattern: an upstream is full, turns requests away and names a time. The
requests that wait, their retries and those of callers all find it idle, so
that each one would be sent there in turn until the time is over.

References
----------
R. Fielding et al., "HTTP Semantics", RFC 9110, section 10.2.3 (Retry-After).
Fractions of a second are accepted as well.
"""

from __future__ import annotations

import math
import random
import re
from collections.abc import Callable, Iterable

from attrs import define, field

# A longer time would take an upstream out of service for one faulty response.
MAX_BACKOFF_S = 600
# The request that tries an upstream may wait this long for its response before
# another one tries it, too.
_TRIAL_S = 1
# Others wait for this long meanwhile: most responses begin sooner.
_TRIAL_WAIT_S = 0.25
# Part of the earliest end over which callers that were refused return.
_RETRY_SPREAD_SHARE = 0.5
_SECONDS = re.compile(r'[0-9]{1,9}(\.[0-9]{0,9})?')


def requested_backoff_s(retry_after: str) -> float | None:
    """Return the time that a ``Retry-After`` header names, seconds.

    ``None`` if it names none that counts: a date, anything else that is no
    positive decimal number, or more than ``MAX_BACKOFF_S``.

    Examples
    --------
    >>> requested_backoff_s('2'), requested_backoff_s(' 0.5 ')
    (2.0, 0.5)
    >>> [requested_backoff_s(text) for text in ('0', '-1', '1e3', '86400')]
    [None, None, None, None]
    """
    if not _SECONDS.fullmatch(retry_after.strip()):
        return None
    seconds = float(retry_after)
    return seconds if 0 < seconds <= MAX_BACKOFF_S else None


@define
class _Backoff:
    """When a backoff ends, and until when one request tries the upstream."""

    ends_s: float
    trial_ends_s: float = -math.inf


@define
class UpstreamBackoffs:
    """Until when each upstream wants no requests.

    Once the time is over, one request tries the upstream; others follow when
    it has responded otherwise than by another backoff.

    Attributes
    ----------
    clock
        Clock that does not stop while the host is suspended, seconds.
    requested
        How often an upstream named a time.
    ignored
        How often the time that it named did not count.

    Examples
    --------
    >>> now_s = [0.0]
    >>> backoffs = UpstreamBackoffs(lambda: now_s[0])
    >>> backoffs.record('a', '2')
    2.0
    >>> backoffs.take('a'), backoffs.wait_s('a')
    (False, 2.0)
    >>> now_s[0] = 2.5
    >>> backoffs.take('a'), backoffs.take('a')
    (True, False)
    >>> backoffs.end('a')
    >>> backoffs.take('a')
    True
    """

    clock: Callable[[], float]
    requested: int = 0
    ignored: int = 0
    _backoffs: dict[str, _Backoff] = field(factory=dict)

    @property
    def count(self) -> int:
        """Number of upstreams that want no requests now."""
        now_s = self.clock()
        return sum(
            backoff.ends_s > now_s for backoff in self._backoffs.values()
        )

    def record(self, name: str, retry_after: str) -> float | None:
        """Record the header of a response that turned a request away.

        Returns the time that it names, seconds; ``None`` for none that counts.
        """
        backoff_s = requested_backoff_s(retry_after)
        if backoff_s is None:
            self.ignored += 1
            return None
        self.requested += 1
        self._forget_old()
        known = self._backoffs.get(name)
        # The response to an earlier request may arrive after that to a later.
        earliest_s = known.ends_s if known else -math.inf
        ends_s = max(earliest_s, self.clock() + backoff_s)
        self._backoffs[name] = _Backoff(ends_s)
        return backoff_s

    def end(self, name: str) -> None:
        """Record that an upstream did not turn a request away.

        A response to a request that was sent before the backoff began does
        not end it.
        """
        backoff = self._backoffs.get(name)
        if backoff is not None and backoff.ends_s <= self.clock():
            self._backoffs.pop(name)

    def wait_s(self, name: str) -> float:
        """Return how long no request may be sent; zero if one may now."""
        backoff = self._backoffs.get(name)
        if backoff is None:
            return 0
        now_s = self.clock()
        if now_s < backoff.ends_s:
            return backoff.ends_s - now_s
        return min(_TRIAL_WAIT_S, max(0, backoff.trial_ends_s - now_s))

    def take(self, name: str) -> bool:
        """Return whether a request may be sent, which is then counted.

        To be called right before the request is written.
        """
        if self.wait_s(name):
            return False
        backoff = self._backoffs.get(name)
        if backoff is not None:
            backoff.trial_ends_s = self.clock() + _TRIAL_S
        return True

    def retry_after_s(self, names: Iterable[str], rng: random.Random) -> float:
        """Return when to send a request again that only these could serve.

        Callers return spread over a time, not together at the earliest end.
        Zero if there are no upstreams, or if one may get a request now.
        """
        earliest_s = min(map(self.wait_s, names), default=0)
        return earliest_s * (1 + rng.uniform(0, _RETRY_SPREAD_SHARE))

    def _forget_old(self) -> None:
        """Forget upstreams that got no request since their backoff ended."""
        oldest_s = self.clock() - MAX_BACKOFF_S
        self._backoffs = {
            name: backoff
            for name, backoff in self._backoffs.items()
            if backoff.ends_s > oldest_s
        }
