"""Upstreams that were found silent or failing by requests."""

from __future__ import annotations

from collections.abc import Callable

from cowslipstep.model import Reason

# A suspect is left alone for this time, then tried again.
SUSPICION_S = 2
# Silent requests of one upstream within this time make it a suspect.
_STRIKE_S = 2
_STRIKES = 2
# An upstream that is full may have room again after this time.
_FULL_S = 0.2


class Suspicions:
    """Remembers for a while which upstreams failed.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._until_s: dict[str, float] = {}
        self._strikes: dict[str, list[float]] = {}

    @property
    def doubts(self) -> tuple[str, ...]:
        """Upstreams that are suspected, or were silent to one request."""
        now_s = self._clock()
        self._until_s = {
            name: until_s
            for name, until_s in self._until_s.items()
            if until_s > now_s
        }
        self._strikes = {
            name: struck_s
            for name, struck_s in self._strikes.items()
            if struck_s[-1] > now_s - _STRIKE_S
        }
        return tuple(dict.fromkeys((*self._until_s, *self._strikes)))

    def strike(self, name: str, reason: Reason) -> None:
        """Note that a request failed at an upstream, and why."""
        match reason:
            case Reason.upstream_refused:
                self.add(name, _FULL_S)
            case Reason.connect_failed | Reason.upstream_moved:
                self.add(name)
            case _:
                self._strike(name)

    def add(self, name: str, lasting_s: float = SUSPICION_S) -> None:
        """Suspect an upstream for a while."""
        self._until_s[name] = self._clock() + lasting_s

    def clear(self, name: str) -> None:
        """Trust an upstream that has answered."""
        self._until_s.pop(name, None)
        self._strikes.pop(name, None)

    def holds(self, name: str) -> bool:
        """Whether an upstream is suspected."""
        return self._until_s.get(name, 0) > self._clock()

    def _strike(self, name: str) -> None:
        now_s = self._clock()
        recent = [
            struck_s
            for struck_s in self._strikes.get(name, ())
            if struck_s > now_s - _STRIKE_S
        ]
        self._strikes[name] = [*recent, now_s]
        if len(recent) + 1 >= _STRIKES:
            self.add(name)
