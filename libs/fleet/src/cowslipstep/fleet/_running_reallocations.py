"""Reallocations that have begun and are not complete yet."""

from __future__ import annotations

from collections import Counter

from cowslipstep.fleet._decisions import FleetView, usable_names
from cowslipstep.fleet._possible_reallocations import (
    Reallocation,
    ReportedGroups,
)
from cowslipstep.fleet._reported_groups import ReportedGroup
from cowslipstep.fleet._runners import GroupId, MemberState

# After a time-out no other one is chosen in the fabric domain for this time.
_PAUSE_AFTER_TIMEOUT_S = 3


class RunningReallocations:
    """Tracks reallocations, at most one in a fabric domain."""

    def __init__(self) -> None:
        self._running: dict[str, Reallocation] = {}
        self._paused_until_s: dict[str, float] = {}

    def __contains__(self, key: GroupId) -> bool:
        return any(
            key in reallocation.ending_leaders
            for reallocation in self._running.values()
        )

    @property
    def claimed(self) -> frozenset[str]:
        """Names of the members of the new groups."""
        return frozenset().union(
            *(
                reallocation.member_names
                for reallocation in self._running.values()
            ),
        )

    @property
    def unformed(self) -> tuple[Reallocation, ...]:
        """Reallocations whose new group is not formed yet."""
        return tuple(
            reallocation
            for reallocation in self._running.values()
            if not reallocation.formed
        )

    def put(self, reallocation: Reallocation) -> None:
        """Track a reallocation, in place of its earlier state."""
        self._running[reallocation.fabric_domain] = reallocation

    def drop_ended(self, view: FleetView, reported: ReportedGroups) -> None:
        """Drop the reallocations that are complete or have failed.

        If a runner is lost, another one may be chosen at once: with a pause
        the free runners would end in groups of a smaller model.
        """
        answering_names = usable_names(view)
        for domain, reallocation in tuple(self._running.items()):
            timed_out = reallocation.fails_at_s <= view.now_s
            if timed_out:
                pause_ends_s = view.now_s + _PAUSE_AFTER_TIMEOUT_S
                self._paused_until_s[domain] = pause_ends_s
            if (
                timed_out
                or reallocation.required_names - answering_names
                or (reallocation.formed and _have_moved(reallocation, reported))
            ):
                self._running.pop(domain)

    def excluded_domains(self, now_s: float) -> frozenset[str]:
        """Return the fabric domains in which none may start now."""
        paused = {
            domain
            for domain, until_s in self._paused_until_s.items()
            if now_s < until_s
        }
        return frozenset(paused.union(self._running))


def planned_changes(
    running: RunningReallocations, reported: ReportedGroups
) -> Counter[str]:
    """Return by model how many groups will be added; negative if ended.

    Groups that have closed, and new ones that were formed, are not in it.
    """
    changes: Counter[str] = Counter()
    for reallocation in running.unformed:
        changes[reallocation.model.name] += 1
        changes.subtract(
            reported[key].model
            for key in reallocation.ending_leaders
            if leader_state(reported.get(key)) is MemberState.open
        )
    return changes


def leader_state(reported_group: ReportedGroup | None) -> MemberState | None:
    """Return the leader's state in the group; ``None`` if it has left."""
    return reported_group.leader_state if reported_group else None


def _have_moved(reallocation: Reallocation, reported: ReportedGroups) -> bool:
    """Return whether no member of the new group reports its former group."""
    former_groups = (
        reported[key] for key in reallocation.ending_leaders if key in reported
    )
    return not any(
        reallocation.member_names & group.member_names
        for group in former_groups
    )
