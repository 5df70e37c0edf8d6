"""Decides whether a group is kept, opened, closed or released."""

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

# A leader that is no longer registered but still answers gets this time to
# finish its requests: it is commanded to close first, and to leave after it.
_LEADERLESS_DRAIN_S = 1.5


_MEMBERS_FREE = GroupAssessment(members_free=True)
_MEMBERS_KEPT = GroupAssessment.keep_members()


def assess_group(
    view: FleetView,
    reported_group: ReportedGroup,
    leaderless_s: float,
) -> GroupAssessment:
    """Return whether the members of a group are free, and what to decide on it.

    Members that have not left the group are free for another one only if the
    leader has left, is broken or was never commanded to open. Otherwise the
    leader could still serve requests that need them.

    Parameters
    ----------
    view
        State of the fleet.
    reported_group
        Runners that report the same group.
    leaderless_s
        Time for which no runner has reported to be the group's leader.
    """
    broken = reported_group.leader_state is MemberState.broken
    if broken or reported_group.key in view.departed:
        # The leader no longer serves, even if members still report the group.
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
        # The leader is registered without this group: it left or restarted.
        return _MEMBERS_FREE
    if leader.name not in view.reachable_unregistered:
        # It may serve on: nothing is known until a probe of it has ended.
        return _MEMBERS_KEPT
    if leaderless_s < _LEADERLESS_DRAIN_S:
        return GroupAssessment.keep_members(CloseGroup(key, leader))
    return GroupAssessment.keep_members(LeaveGroup(key, leader))


def _assess_ready(
    view: FleetView,
    reported_group: ReportedGroup,
    leader: DiscoveredRunner,
) -> GroupAssessment:
    if (
        reported_group.draining
        or reported_group.key in view.superseded
        or not _is_complete(view, reported_group)
    ):
        # The leader must leave before its members are free: a command to open
        # the group may still be in flight.
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
    if _has_lost_members(view, reported_group):
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


def _has_lost_members(view: FleetView, reported_group: ReportedGroup) -> bool:
    """Return whether the leader can make no progress any more.

    A group serves on while all members without a registration answer. Until a
    probe of them has ended nothing is known, and the group stays as it is.
    """
    if _is_complete(view, reported_group):
        return False
    members = view.known_members.get(reported_group.key, {})
    missing_names = [
        member.name
        for rank, member in members.items()
        if rank not in reported_group.members
    ]
    if not missing_names:
        return True
    has_left = view.runners.keys() & missing_names
    return bool(has_left) or not view.lost_runners.isdisjoint(missing_names)


def _release_members(reported_group: ReportedGroup) -> GroupAssessment:
    """Command each member to leave, as the leader cannot be reached."""
    leave_decisions = (
        LeaveGroup(reported_group.key, member)
        for member in reported_group.members.values()
    )
    return GroupAssessment.keep_members(*leave_decisions)
