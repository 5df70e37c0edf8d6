"""Until when each runner is cold."""

from __future__ import annotations

import math
from collections.abc import Callable

from attrs import define, field, frozen

from cowslipstep.fleet import ColdStart, DiscoveredRunner
from cowslipstep.routing.cold import ColdLimit
from cowslipstep.serving._clocks import boot_time_s
from cowslipstep.settings import ServingBounds


@frozen
class ColdFacts:
    """What the limits on cold runners depend on.

    Parameters
    ----------
    own
        Name of this daemon.
    bounds
        Returns the bounds of the deployment.
    cold_start
        Returns the limits of a service; ``None`` without any.
    hears_others
        Returns whether reports of other daemons arrive.
    clock
        Clock that does not stop while the host is suspended, seconds.
    """

    own: str
    bounds: Callable[[], ServingBounds]
    cold_start: Callable[[str], ColdStart | None]
    hears_others: Callable[[], bool]
    clock: Callable[[], float] = boot_time_s

    def limit(self, service: str) -> ColdLimit | None:
        """Return the limit of each cold runner of a service, if any."""
        bounds = self.bounds()
        start = self.cold_start(service)
        if bounds.cold_overage is None or start is None:
            return None
        bound = start.per_s * bounds.cold_overage + bounds.cold_slack
        return ColdLimit(start.per_s, bound)


@frozen
class _Sighting:
    """The last word of an entry on how long its runner stays cold."""

    service: str
    received_s: float
    cold_s: float | None


@define
class ColdTimes:
    """Until when each runner is cold, by the entries that were received.

    Parameters
    ----------
    facts
        Limits of services, and the clock.
    """

    _facts: ColdFacts
    _sightings: dict[str, _Sighting] = field(init=False, factory=dict)

    @property
    def count(self) -> int:
        """Number of runners that are cold and limited."""
        return sum(self.remaining_s(name) > 0 for name in self.names())

    def names(self, service: str = '') -> list[str]:
        """Return the runners that may be cold, of all services by default."""
        return [
            name
            for name, sighting in self._sightings.items()
            if service in ('', sighting.service)
        ]

    def observe(
        self,
        former: DiscoveredRunner | None,
        present: DiscoveredRunner | None,
    ) -> None:
        """Record a new entry of a runner, or that it was removed.

        An entry without a valid time counts as cold for the usual time if it
        is the first one, or the one before it had a time.
        """
        if present is None:
            if former is not None:
                self._sightings.pop(former.name, None)
            return
        if self._facts.bounds().cold_overage is None:
            return
        had_time = former is None or former.cold_s is not None
        if present.cold_s is None and not had_time:
            return
        self._sightings[present.name] = _Sighting(
            present.service, self._facts.clock(), present.cold_s
        )

    def remaining_s(self, name: str) -> float:
        """Return how long a runner stays cold; zero if it is not limited."""
        sighting = self._sightings.get(name)
        if sighting is None:
            return 0
        ends_s = sighting.received_s + self._cold_s(sighting)
        remaining_s = ends_s - self._facts.clock()
        if remaining_s <= 0:
            self._sightings.pop(name)
            return 0
        return remaining_s if self._facts.limit(sighting.service) else 0

    def _cold_s(self, sighting: _Sighting) -> float:
        if sighting.cold_s is not None:
            return sighting.cold_s
        start = self._facts.cold_start(sighting.service)
        # The configuration may be read after the entry.
        return start.duration_s if start else math.inf
