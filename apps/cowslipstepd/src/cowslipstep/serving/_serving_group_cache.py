"""Cache of the serving groups, derived from the entries of runners."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cowslipstep.fleet import (
    EngineProfile,
    GroupId,
    MembersByRank,
    ReportedGroup,
    ServingGroup,
    serving_group,
)


class ServingGroupCache:
    """Caches the serving groups of each service, group by group.

    With many runners some entry changes between most requests, so that only
    the groups that it affects are derived again.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, tuple[ServingGroup, ...]] = {}
        self._by_key: dict[GroupId, ServingGroup | None] = {}
        self._engines: dict[str, EngineProfile] = {}
        self._reachable_unregistered: MembersByRank = {}

    def invalidate(self, keys: Iterable[GroupId]) -> None:
        """Drop these groups; the next call derives them again."""
        for key in keys:
            self._by_key.pop(key, None)
        self._by_service.clear()

    def update_reachable_unregistered(self, members: MembersByRank) -> None:
        """Set the members by rank that still respond without an entry."""
        if members != self._reachable_unregistered:
            self.invalidate({*members, *self._reachable_unregistered})
            self._reachable_unregistered = members

    def serving(
        self,
        service: str,
        engine: EngineProfile,
        reported: Mapping[GroupId, ReportedGroup],
    ) -> tuple[ServingGroup, ...]:
        """Return the groups of a service that serve requests."""
        if self._engines.get(service) != engine:
            self._engines[service] = engine
            self._by_key.clear()
            self._by_service.clear()
        groups = self._by_service.get(service)
        if groups is None:
            derived = (
                self._derived(reported_group, engine)
                for reported_group in reported.values()
                if reported_group.key.service == service
            )
            groups = tuple(group for group in derived if group is not None)
            self._by_service[service] = groups
        return groups

    def _derived(
        self, reported_group: ReportedGroup, engine: EngineProfile
    ) -> ServingGroup | None:
        key = reported_group.key
        if key not in self._by_key:
            self._by_key[key] = serving_group(
                reported_group,
                engine,
                self._reachable_unregistered.get(key, {}),
            )
        return self._by_key[key]
