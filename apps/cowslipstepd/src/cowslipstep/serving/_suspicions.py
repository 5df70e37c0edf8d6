"""Upstreams that are suspected because requests to them failed."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from cowslipstep.model import Reason
from cowslipstep.model.loads import UpstreamDoubt

# A suspected upstream gets no requests for this time if there are others.
SUSPICION_S = 2
# An upstream is suspected after this many failures within this time.
_FAILURE_WINDOW_S = 2
_FAILURES_UNTIL_SUSPECTED = 2
# An upstream that refused a request may have a free slot after this time.
_REFUSAL_SUSPICION_S = 0.2
# Daemons that do not know better avoid a dark upstream for this time, in which
# its entry expires; otherwise all would try it again at once.
_DOUBT_S = 4
# Failures that suggest to other daemons, too, that an upstream is dark.
_DOUBT_REASONS = frozenset(
    (Reason.connect_failed, Reason.upstream_moved, Reason.upstream_timeout)
)


class Suspicions:
    """Holds upstreams suspected for a limited time.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self._failures_s: dict[str, list[float]] = {}
        self._doubted_until_s: dict[str, float] = {}

    @property
    def suspected_upstreams(self) -> tuple[str, ...]:
        """Upstreams that are suspected or failed one request lately."""
        now_s = self._clock()
        self._until_s = {
            name: until_s
            for name, until_s in self._until_s.items()
            if until_s > now_s
        }
        self._failures_s = {
            name: failed_at_s
            for name, failed_at_s in self._failures_s.items()
            if failed_at_s[-1] > now_s - _FAILURE_WINDOW_S
        }
        return tuple(dict.fromkeys((*self._until_s, *self._failures_s)))

    @property
    def doubts(self) -> tuple[UpstreamDoubt, ...]:
        """Upstreams that did not respond to this daemon lately."""
        now_s = self._clock()
        self._doubted_until_s = {
            name: until_s
            for name, until_s in self._doubted_until_s.items()
            if until_s > now_s
        }
        return tuple(UpstreamDoubt(name, 1) for name in self._doubted_until_s)

    def record_failure(self, name: str, reason: Reason) -> None:
        """Record that a request failed at an upstream.

        A refusal, a failed connection or a moved upstream makes it suspected
        at once, other failures only when they repeat.
        """
        if reason in _DOUBT_REASONS:
            self._doubted_until_s[name] = self._clock() + _DOUBT_S
        match reason:
            case Reason.upstream_refused:
                self.suspect(name, _REFUSAL_SUSPICION_S)
            case Reason.connect_failed | Reason.upstream_moved:
                self.suspect(name)
            case _:
                failures_s = _add_failure(
                    self._failures_s.get(name, ()), self._clock()
                )
                self._failures_s[name] = failures_s
                if len(failures_s) >= _FAILURES_UNTIL_SUSPECTED:
                    self.suspect(name)

    def suspect(self, name: str, duration_s: float = SUSPICION_S) -> None:
        """Suspect an upstream for that time."""
        self._until_s[name] = self._clock() + duration_s

    def clear(self, name: str) -> None:
        """Clear the suspicion of an upstream that has responded."""
        self._until_s.pop(name, None)
        self._failures_s.pop(name, None)
        self._doubted_until_s.pop(name, None)

    def is_suspected(self, name: str) -> bool:
        """Return whether an upstream is suspected."""
        return self._until_s.get(name, 0) > self._clock()


def _add_failure(failures_s: Iterable[float], now_s: float) -> list[float]:
    """Return the recent failures with the one at this moment."""
    earliest_s = now_s - _FAILURE_WINDOW_S
    return [*(time_s for time_s in failures_s if time_s > earliest_s), now_s]


def no_suspicions() -> Suspicions:
    """Return the suspicions before the first request."""
    return Suspicions(time.monotonic)
