"""Members of groups, also those whose entries have lapsed."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupId,
    MembersByRank,
    ReportedGroup,
)


class LapsedEntries:
    """Knows for how long runners have had no entry.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._since_s: dict[str, float] = {}

    def update(self, names: Iterable[str]) -> None:
        """Set the runners that have no entry now."""
        now_s = self._clock()
        self._since_s = {name: self._since_s.get(name, now_s) for name in names}

    def before(self, age_s: float) -> frozenset[str]:
        """Return the runners whose entries lapsed that long ago or longer."""
        latest_s = self._clock() - age_s
        return frozenset(
            name
            for name, since_s in self._since_s.items()
            if since_s <= latest_s
        )


def reachable_members(
    members: MembersByRank,
    reachable_unregistered: Collection[str],
    former_leaders: Collection[str] = (),
) -> MembersByRank:
    """Return the members that answer without an entry.

    Parameters
    ----------
    members
        Members of each group by rank.
    reachable_unregistered
        Names of those that answer.
    former_leaders
        Names of runners that lead no group any more.
    """
    if not reachable_unregistered:
        return {}
    return {
        key: {
            rank: member
            for rank, member in by_rank.items()
            if member.name in reachable_unregistered
            and (rank or member.name not in former_leaders)
        }
        for key, by_rank in members.items()
    }


def merge_members(
    members: MembersByRank,
    reported: Mapping[GroupId, ReportedGroup],
) -> dict[GroupId, dict[int, DiscoveredRunner]]:
    """Return the past and present members of each group still reported."""
    return {
        key: {**members.get(key, {}), **reported_group.members}
        for key, reported_group in reported.items()
    }


def unregistered_members(
    members: MembersByRank,
    registered: Collection[str],
) -> dict[str, DiscoveredRunner]:
    """Return the members that are not registered any more, by name."""
    unregistered: dict[str, DiscoveredRunner] = {}
    for by_rank in members.values():
        unregistered.update(_by_name(by_rank.values()))
    for name in unregistered.keys() & registered:
        unregistered.pop(name)
    return unregistered


def suspected_members(
    reported: Iterable[ReportedGroup],
    suspected_names: frozenset[str],
) -> dict[str, DiscoveredRunner]:
    """Return all members of groups with a suspected member."""
    suspected: dict[str, DiscoveredRunner] = {}
    for reported_group in reported:
        if not suspected_names.isdisjoint(reported_group.member_names):
            suspected.update(_by_name(reported_group.members.values()))
    return suspected


def _by_name(
    runners: Iterable[DiscoveredRunner],
) -> dict[str, DiscoveredRunner]:
    return {runner.name: runner for runner in runners}
