"""Reachability of unregistered members and of members of suspected groups."""

from __future__ import annotations

import time
from collections.abc import Iterable

import eventlet

from cowslipstep.fleet import (
    LEADER_GRACE_S,
    DiscoveredRunner,
    GroupId,
    MembersByRank,
    ReportedGroup,
)
from cowslipstep.serving._group_members import (
    LapsedEntries,
    merge_members,
    reachable_members,
    suspected_members,
    unregistered_members,
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
        self._lapsed = LapsedEntries(time.monotonic)

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
            unregistered = unregistered_members(
                self._known_members, self._state.runner_table.runners.keys()
            )
            self._lapsed.update(unregistered)
            self._state.serving_groups.update_reachable_unregistered(
                reachable_members(
                    self._known_members,
                    self.reachable_unregistered(),
                    self._lapsed.before(LEADER_GRACE_S),
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
