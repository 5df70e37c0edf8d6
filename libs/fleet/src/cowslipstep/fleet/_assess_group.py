"""Whether the members of a group are free, and what is to be done."""

from __future__ import annotations

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetView,
    LeaveGroup,
    OpenGroup,
)
from cowslipstep.fleet._group_assessment import GroupAssessment
from cowslipstep.fleet._reported_groups import ReportedGroup
from cowslipstep.fleet._runners import DiscoveredRunner, MemberState

# A leader that has vanished may finish its requests before it has to leave.
_LEADERLESS_DRAIN_S = 1.5


_MEMBERS_FREE = GroupAssessment(members_free=True)
_MEMBERS_KEPT = GroupAssessment.keep_members()


def assess_group(
    view: FleetView,
    reported_group: ReportedGroup,
    leaderless_s: float,
) -> GroupAssessment:
    """Judge one reported group.

    A member is only taken for another group when it has left its group, or
    when its leader has left, is broken or was never told to serve.

    Parameters
    ----------
    view
        The fleet.
    reported_group
        Runners that report the same group.
    leaderless_s
        How long no member has been its leader.
    """
    broken = reported_group.leader_state is MemberState.broken
    if broken or reported_group.key in view.departed:
        # Whatever entries of members still say, the leader serves no more.
        return _MEMBERS_FREE
    leader = reported_group.leader
    if leader is None:
        return _assess_leaderless(view, reported_group, leaderless_s)
    match reported_group.leader_state:
        case MemberState.joining:
            return (
                _MEMBERS_KEPT
                if _is_complete(view, reported_group)
                else _MEMBERS_FREE
            )
        case MemberState.ready:
            return _assess_ready(view, reported_group, leader)
        case _:
            return _assess_serving(view, reported_group, leader)


def _is_complete(view: FleetView, reported_group: ReportedGroup) -> bool:
    model = view.engine.model(reported_group.model)
    return model is not None and reported_group.has_all_members(
        model.group_size
    )


def _assess_leaderless(
    view: FleetView,
    reported_group: ReportedGroup,
    leaderless_s: float,
) -> GroupAssessment:
    key = reported_group.key
    leader = view.known_members.get(key, {}).get(0)
    if leader is None or leader.name in view.lost_runners:
        return _release_members(reported_group)
    if leader.name in view.runners:
        # Registered without this group: it has left or restarted.
        return _MEMBERS_FREE
    if leader.name not in view.reachable_unregistered:
        return _release_members(reported_group)
    if leaderless_s < _LEADERLESS_DRAIN_S:
        return GroupAssessment.keep_members(CloseGroup(key, leader))
    return GroupAssessment.keep_members(LeaveGroup(key, leader))


def _assess_ready(
    view: FleetView,
    reported_group: ReportedGroup,
    leader: DiscoveredRunner,
) -> GroupAssessment:
    if reported_group.draining or not _is_complete(view, reported_group):
        # A command to open may still be on its way to the leader.
        return GroupAssessment.keep_members(
            LeaveGroup(reported_group.key, leader)
        )
    if reported_group.all_ready():
        return GroupAssessment.keep_members(
            OpenGroup(reported_group.key, leader)
        )
    return _MEMBERS_KEPT


def _assess_serving(
    view: FleetView,
    reported_group: ReportedGroup,
    leader: DiscoveredRunner,
) -> GroupAssessment:
    if not (
        _is_complete(view, reported_group)
        or _missing_members_answer(view, reported_group)
    ):
        return GroupAssessment.keep_members(
            LeaveGroup(reported_group.key, leader)
        )
    if (
        reported_group.draining
        and reported_group.leader_state is MemberState.open
    ):
        return GroupAssessment.keep_members(
            CloseGroup(reported_group.key, leader)
        )
    return _MEMBERS_KEPT


def _missing_members_answer(
    view: FleetView, reported_group: ReportedGroup
) -> bool:
    """Whether all members that vanished still answer.

    Such a group serves on; once one of them has ended, its leader stands
    still.
    """
    members = view.known_members.get(reported_group.key, {})
    missing_names = [
        member.name
        for rank, member in members.items()
        if rank not in reported_group.members
    ]
    return bool(missing_names) and view.reachable_unregistered.issuperset(
        missing_names
    )


def _release_members(reported_group: ReportedGroup) -> GroupAssessment:
    """Free the members of a leader that cannot be told to leave."""
    leave_decisions = (
        LeaveGroup(reported_group.key, member)
        for member in reported_group.members.values()
    )
    return GroupAssessment.keep_members(*leave_decisions)
