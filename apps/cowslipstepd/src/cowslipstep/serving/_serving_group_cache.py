"""Groups as the runners' entries tell them, for choosing among them."""

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
    """Keeps the serving groups of each service until an entry changes."""

    def __init__(self) -> None:
        self._by_service: dict[str, tuple[ServingGroup, ...]] = {}
        self._reachable_unregistered: MembersByRank = {}

    def invalidate(self) -> None:
        """Work the groups out again when they are next asked for."""
        self._by_service.clear()

    def update_reachable_unregistered(self, vanished: MembersByRank) -> None:
        """Take members by rank that vanished and still answer."""
        if vanished != self._reachable_unregistered:
            self._reachable_unregistered = vanished
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
