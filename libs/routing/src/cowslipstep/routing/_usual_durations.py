"""How long the requests of a route usually take."""

from __future__ import annotations

from collections import deque

from attrs import define, field

# Requests of a route whose durations are kept.
_KEPT = 64
# Share of the requests that take no longer than the usual time.
_USUAL_SHARE = 0.9


@define
class UsualDurations:
    """Durations of the latest requests, by route.

    Examples
    --------
    >>> durations = UsualDurations()
    >>> durations.usual_s('letters', default_s=6)
    6
    >>> durations.record('letters', 0.5)
    >>> durations.usual_s('letters', default_s=6)
    0.5
    """

    _by_route: dict[str, deque[float]] = field(factory=dict)

    def record(self, route: str, duration_s: float) -> None:
        """Record a request that was answered."""
        kept = self._by_route.setdefault(route, deque(maxlen=_KEPT))
        kept.append(duration_s)

    def usual_s(self, route: str, default_s: float) -> float:
        """Return the time that most requests take; the default before one."""
        kept = sorted(self._by_route.get(route, ()))
        if not kept:
            return default_s
        return kept[int(_USUAL_SHARE * (len(kept) - 1))]
