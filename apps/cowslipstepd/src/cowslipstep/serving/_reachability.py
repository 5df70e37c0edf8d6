"""Which members of groups answer although they have vanished, or do not."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import eventlet

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupKey,
    MembersByRank,
    ReportedGroup,
    reported_groups,
)
from cowslipstep.serving._probes import PROBE_PERIOD_S, Probes
from cowslipstep.serving._state import ServingState

# One lost packet does not make a runner unreachable.
_MISSES = 2


class Reachability:
    """Probes members of groups that vanished or were found silent.

    Every daemon without a relay probes members whose entries are gone, since
    each may reach others; the keeper also probes those of suspected groups.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._probes = Probes(state.dialects.orders)
        self._members: dict[GroupKey, dict[int, DiscoveredRunner]] = {}

    @property
    def members(self) -> MembersByRank:
        """Members by rank of each group that some runner reports."""
        return self._members

    @property
    def lost(self) -> frozenset[str]:
        """Registered runners that have not answered several probes."""
        runners = self._state.directory.runners
        return frozenset(
            name
            for name, misses in self._probes.misses.items()
            if name in runners and misses >= _MISSES
        )

    def heard(self) -> frozenset[str]:
        """Return the vanished members that answer this daemon or a peer."""
        told = set(self.own_heard)
        for report in self._state.loads.reports:
            told.update(report.reachable_unregistered)
        return frozenset(told)

    @property
    def own_heard(self) -> tuple[str, ...]:
        """Vanished members that answer this daemon."""
        runners = self._state.directory.runners
        return tuple(
            name
            for name, misses in self._probes.misses.items()
            if misses == 0 and name not in runners
        )

    def run(self) -> None:
        """Probe until the task is ended."""
        while True:
            eventlet.sleep(PROBE_PERIOD_S)
            found = reported_groups(self._state.directory.runners.values())
            self._members = remembered(self._members, found)
            self._state.groups.note_vanished(
                vanished_members(self._members, self.heard()),
            )
            self._probes.start(self._doubtful(found.values()))

    def _doubtful(
        self,
        found: Iterable[ReportedGroup],
    ) -> dict[str, DiscoveredRunner]:
        if self._state.role.fed:
            # Its relay probes for all of its followers.
            return {}
        doubtful = doubtful_members(
            self._members,
            self._state.directory.runners.keys(),
        )
        if self._state.is_controller:
            # One that missed a probe is asked until it answers.
            suspects = self._state.all_doubts().union(
                name for name, misses in self._probes.misses.items() if misses
            )
            doubtful.update(suspected_members(found, suspects))
        return doubtful


def vanished_members(
    members: MembersByRank, heard: frozenset[str]
) -> MembersByRank:
    """Return those members that are among ``heard``."""
    if not heard:
        return {}
    return {key: _heard_of(by_rank, heard) for key, by_rank in members.items()}


def _heard_of(
    by_rank: Mapping[int, DiscoveredRunner],
    heard: frozenset[str],
) -> dict[int, DiscoveredRunner]:
    return {
        rank: member for rank, member in by_rank.items() if member.name in heard
    }


def remembered(
    members: MembersByRank,
    found: Mapping[GroupKey, ReportedGroup],
) -> dict[GroupKey, dict[int, DiscoveredRunner]]:
    """Return the members by rank of each group that is still reported."""
    return {
        key: {**members.get(key, {}), **formation.members}
        for key, formation in found.items()
    }


def doubtful_members(
    members: MembersByRank,
    registered: Collection[str],
) -> dict[str, DiscoveredRunner]:
    """Return the members that are registered no more, by name."""
    doubtful: dict[str, DiscoveredRunner] = {}
    for by_rank in members.values():
        doubtful.update(_named(by_rank.values()))
    for name in doubtful.keys() & registered:
        doubtful.pop(name)
    return doubtful


def suspected_members(
    found: Iterable[ReportedGroup],
    suspects: frozenset[str],
) -> dict[str, DiscoveredRunner]:
    """Return all members of groups with a suspected member."""
    suspected: dict[str, DiscoveredRunner] = {}
    for formation in found:
        if not suspects.isdisjoint(formation.names):
            suspected.update(_named(formation.members.values()))
    return suspected


def _named(
    runners: Iterable[DiscoveredRunner],
) -> dict[str, DiscoveredRunner]:
    return {runner.name: runner for runner in runners}
