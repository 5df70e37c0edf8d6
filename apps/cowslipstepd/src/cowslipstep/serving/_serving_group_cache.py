"""Cache of the serving groups, derived from the entries of runners."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cowslipstep.fleet import (
    DiscoveredRunner,
    EngineProfile,
    MembersByRank,
    ServingGroup,
    serving_groups,
)


class ServingGroupCache:
    """Caches the serving groups of each service until an entry changes."""

    def __init__(self) -> None:
        self._by_service: dict[str, tuple[ServingGroup, ...]] = {}
        self._reachable_unregistered: MembersByRank = {}

    def invalidate(self) -> None:
        """Drop the cached groups; the next call derives them again."""
        self._by_service.clear()

    def update_reachable_unregistered(self, members: MembersByRank) -> None:
        """Set the members by rank that still respond without an entry."""
        if members != self._reachable_unregistered:
            self._reachable_unregistered = members
            self.invalidate()

    def serving(
        self,
        service: str,
        engine: EngineProfile,
        runners: Mapping[str, DiscoveredRunner],
    ) -> tuple[ServingGroup, ...]:
        """Return the groups of a service that serve requests."""
        groups = self._by_service.get(service)
        if groups is None:
            groups = serving_groups(
                _of_service(runners.values(), service),
                engine,
                self._reachable_unregistered,
            )
            self._by_service[service] = groups
        return groups


def _of_service(
    runners: Iterable[DiscoveredRunner],
    service: str,
) -> list[DiscoveredRunner]:
    return [runner for runner in runners if runner.service == service]
