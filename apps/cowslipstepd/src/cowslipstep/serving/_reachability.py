"""Reachability of unregistered members and of members of suspected groups."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import eventlet

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupId,
    MembersByRank,
    ReportedGroup,
)
from cowslipstep.serving._runner_probes import PROBE_PERIOD_S, RunnerProbes
from cowslipstep.serving._state import ServingState

# One lost packet must not make a registered runner unreachable, so it has to
# miss one probe more than a runner whose entry has lapsed.
_MISSES_WITHOUT_ENTRY = 1


class Reachability:
    """Probes members that lost their entry or whose group is suspected.

    Every daemon without a relay probes members whose entries are gone,
    because in a network partition each daemon may reach different ones; the
    controller also probes the members of suspected groups.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._probes = RunnerProbes(state.dialects.commands)
        self._known_members: dict[GroupId, dict[int, DiscoveredRunner]] = {}

    @property
    def known_members(self) -> MembersByRank:
        """Members by rank, past ones included, of each reported group."""
        return self._known_members

    @property
    def unreachable(self) -> frozenset[str]:
        """Runners that missed consecutive probes, registered or not."""
        runners = self._state.runner_table.runners
        return frozenset(
            name
            for name, misses in self._probes.consecutive_misses.items()
            if misses >= _MISSES_WITHOUT_ENTRY + (name in runners)
        )

    def reachable_unregistered(self) -> frozenset[str]:
        """Return unregistered members that respond to any daemon."""
        reachable = set(self.own_reachable)
        for report in self._state.loads.reports:
            reachable.update(report.reachable_unregistered)
        return frozenset(reachable)

    @property
    def own_reachable(self) -> tuple[str, ...]:
        """Unregistered members that respond to this daemon."""
        runners = self._state.runner_table.runners
        return tuple(
            name
            for name, misses in self._probes.consecutive_misses.items()
            if misses == 0 and name not in runners
        )

    def run(self) -> None:
        """Probe until the task is ended."""
        while True:
            eventlet.sleep(PROBE_PERIOD_S)
            reported = self._state.runner_table.groups.groups
            self._known_members = merge_members(self._known_members, reported)
            self._state.serving_groups.update_reachable_unregistered(
                reachable_members(
                    self._known_members, self.reachable_unregistered()
                ),
            )
            self._probes.probe(self._probe_targets(reported.values()))

    def _probe_targets(
        self,
        reported: Iterable[ReportedGroup],
    ) -> dict[str, DiscoveredRunner]:
        if self._state.relay_role.relies_on_relay:
            # The relay probes on behalf of all its followers.
            return {}
        targets = unregistered_members(
            self._known_members,
            self._state.runner_table.runners.keys(),
        )
        if self._state.is_controller:
            # A runner that missed a probe is probed until it responds.
            suspected = self._state.all_suspected_upstreams().union(
                name
                for name, misses in self._probes.consecutive_misses.items()
                if misses
            )
            targets.update(suspected_members(reported, suspected))
        return targets


def reachable_members(
    members: MembersByRank, reachable_unregistered: frozenset[str]
) -> MembersByRank:
    """Return the members whose names are in ``reachable_unregistered``."""
    if not reachable_unregistered:
        return {}
    return {
        key: _select_members(by_rank, reachable_unregistered)
        for key, by_rank in members.items()
    }


def _select_members(
    by_rank: Mapping[int, DiscoveredRunner],
    reachable_unregistered: frozenset[str],
) -> dict[int, DiscoveredRunner]:
    return {
        rank: member
        for rank, member in by_rank.items()
        if member.name in reachable_unregistered
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
