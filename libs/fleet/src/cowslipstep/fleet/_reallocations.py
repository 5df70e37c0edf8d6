"""Ends groups of one model so that a busier model gets their runners.

When a group breaks, its remaining runners are often too few for a new group of
its model and go to a model with smaller groups. Without reallocations, a model
with large groups would lose a group with each failure, whatever its demand.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from attrs import evolve

from cowslipstep.fleet._decisions import CloseGroup, FleetView, LeaveGroup
from cowslipstep.fleet._group_choice import ChosenGroup
from cowslipstep.fleet._possible_reallocations import (
    PossibleReallocations,
    Reallocation,
    ReportedGroups,
)
from cowslipstep.fleet._reallocation_choice import ReallocationChoice
from cowslipstep.fleet._reported_groups import ReportedGroup
from cowslipstep.fleet._runners import GroupId, MemberState

# A reallocation fails if its runners have not moved to the new group within
# this time.
_JOIN_TIMEOUT_S = 4
# No other reallocation is chosen for this time: the demand is smoothed and
# shows the effect of a reallocation late.
_PAUSE_AFTER_REALLOCATION_S = 3


class Reallocations:
    """Chooses reallocations and carries them out, one at a time."""

    def __init__(self) -> None:
        self._reallocation: Reallocation | None = None
        self._paused_until_s: float = 0

    def __contains__(self, key: GroupId) -> bool:
        return (
            self._reallocation is not None
            and key in self._reallocation.ending_leaders
        )

    @property
    def claimed(self) -> frozenset[str]:
        """Names of the members of the new group; empty without one."""
        return (
            self._reallocation.member_names
            if self._reallocation
            else frozenset()
        )

    def drop_ended(self, view: FleetView, reported: ReportedGroups) -> None:
        """Drop the reallocation once it is complete or has failed."""
        reallocation = self._reallocation
        if reallocation is None:
            return
        answering_names = frozenset(runner.name for runner in view.answering)
        failed = (
            reallocation.fails_at_s <= view.now_s
            or reallocation.required_names - answering_names
        )
        if failed or (
            reallocation.formed and _members_have_moved(reallocation, reported)
        ):
            self._reallocation = None
            self._paused_until_s = view.now_s + _PAUSE_AFTER_REALLOCATION_S

    def ending_decisions(
        self,
        view: FleetView,
        reported: ReportedGroups,
        claimed: Collection[str],
        counts: Mapping[str, int],
    ) -> Iterator[CloseGroup | LeaveGroup]:
        """Yield decisions that end groups; choose a reallocation if none runs.

        A leader that has closed is also commanded to leave its group, since a
        command to open it may still be in flight.
        """
        if self._reallocation is None and view.now_s >= self._paused_until_s:
            possible = PossibleReallocations(view, reported, claimed)
            self._reallocation = ReallocationChoice(
                view, counts, possible
            ).best()
        if self._reallocation is None or self._reallocation.formed:
            return
        for key, leader in self._reallocation.ending_leaders.items():
            match _leader_state(reported.get(key)):
                case MemberState.open:
                    yield CloseGroup(key, leader)
                case MemberState.ready:
                    yield LeaveGroup(key, leader)

    def next_group(
        self,
        view: FleetView,
        reported: ReportedGroups,
    ) -> ChosenGroup | None:
        """Return the new group once all ending groups have ended.

        Returns ``None`` before that, or without a reallocation.
        """
        reallocation = self._reallocation
        if reallocation is None or reallocation.formed:
            return None
        not_departed = reallocation.ending_leaders.keys() - view.departed
        if any(map(_leader_state, map(reported.get, not_departed))):
            return None
        fails_at_s = view.now_s + _JOIN_TIMEOUT_S
        self._reallocation = evolve(
            reallocation, formed=True, fails_at_s=fails_at_s
        )
        return ChosenGroup(
            reallocation.model,
            reallocation.members,
            loading=(),
            time_to_ready_s=reallocation.model.staged_load_s,
        )


def _leader_state(reported_group: ReportedGroup | None) -> MemberState | None:
    """Return the leader's state in the group; ``None`` if it has left."""
    return reported_group.leader_state if reported_group else None


def _members_have_moved(
    reallocation: Reallocation, reported: ReportedGroups
) -> bool:
    """Return whether no member of the new group reports its former group."""
    former_groups = (
        reported[key] for key in reallocation.ending_leaders if key in reported
    )
    return not any(
        reallocation.member_names & group.member_names
        for group in former_groups
    )
