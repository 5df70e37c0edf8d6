"""Which members of groups answer although they have vanished, or do not."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping

import eventlet

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.groups import Formation, FormationKey, formations
from cowslipstep.model import DiscoveredRunner
from cowslipstep.serving._report_probe import ask_report
from cowslipstep.serving._state import ServingState

Members = Mapping[FormationKey, Mapping[int, DiscoveredRunner]]

# One lost packet does not make a runner unreachable.
_MISSES = 2
_STEP_S = 0.2


class Reachability:
    """Probes members of groups that vanished or were found silent.

    Every daemon probes members whose entries are gone, since each of them
    may reach others; the keeper also probes members of suspected groups.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._misses: dict[str, int] = {}
        self._probing: set[str] = set()
        self._members: dict[FormationKey, dict[int, DiscoveredRunner]] = {}

    @property
    def members(self) -> Members:
        """Members by rank of each group that some runner reports."""
        return self._members

    @property
    def lost(self) -> frozenset[str]:
        """Registered runners that have not answered several probes."""
        runners = self._state.directory.runners
        return frozenset(
            name
            for name, misses in self._misses.items()
            if name in runners and misses >= _MISSES
        )

    @property
    def own_heard(self) -> tuple[str, ...]:
        """Vanished members that answer this daemon."""
        runners = self._state.directory.runners
        return tuple(
            name
            for name, misses in self._misses.items()
            if misses == 0 and name not in runners
        )

    @property
    def heard(self) -> frozenset[str]:
        """Vanished members that answer this daemon or a peer."""
        told = set(self.own_heard)
        for report in self._state.loads.reports:
            told.update(report.heard)
        return frozenset(told)

    def run(self) -> None:
        """Probe until the task is ended."""
        while True:
            eventlet.sleep(_STEP_S)
            doubtful = self._doubtful()
            self._state.groups.note_vanished(
                vanished_members(self._members, self.heard),
            )
            for name in self._misses.keys() - doubtful.keys():
                self._misses.pop(name)
            for name, runner in doubtful.items():
                if name not in self._probing:
                    self._probing.add(name)
                    eventlet.spawn(self._probe, runner)

    def _doubtful(self) -> dict[str, DiscoveredRunner]:
        runners = self._state.directory.runners
        found = formations(runners.values())
        self._members = remembered(self._members, found)
        doubtful = {
            member.name: member
            for members in self._members.values()
            for member in members.values()
            if member.name not in runners
        }
        if self._state.is_keeper:
            suspects = self._state.all_suspects().union(self._misses)
            doubtful.update(_suspected(found.values(), suspects))
        return doubtful

    def _probe(self, runner: DiscoveredRunner) -> None:
        begun_s = time.monotonic()
        try:
            ask_report(self._state.dialects.orders, runner)
        except UpstreamFailure:
            self._misses[runner.name] = self._misses.get(runner.name, 0) + 1
        else:
            self._misses[runner.name] = 0
        passed_s = time.monotonic() - begun_s
        eventlet.sleep(max(0, _STEP_S - passed_s))
        self._probing.discard(runner.name)


def vanished_members(members: Members, heard: frozenset[str]) -> Members:
    """Return those members that are among ``heard``."""
    if not heard:
        return {}
    return {
        key: {
            rank: member
            for rank, member in by_rank.items()
            if member.name in heard
        }
        for key, by_rank in members.items()
    }


def remembered(
    members: Members,
    found: Mapping[FormationKey, Formation],
) -> dict[FormationKey, dict[int, DiscoveredRunner]]:
    """Return the members by rank of each group that is still reported."""
    return {
        key: {**members.get(key, {}), **formation.members}
        for key, formation in found.items()
    }


def _suspected(
    found: Iterable[Formation],
    suspects: frozenset[str],
) -> dict[str, DiscoveredRunner]:
    """Return all members of groups with a suspected member."""
    return {
        member.name: member
        for formation in found
        if not suspects.isdisjoint(formation.names)
        for member in formation.members.values()
    }
