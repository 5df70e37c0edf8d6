"""Whether the members of a group are free, and what is to be done."""

from __future__ import annotations

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetView,
    LeaveGroup,
    OpenGroup,
)
from cowslipstep.fleet._judgements import Judgement
from cowslipstep.fleet._reported_groups import ReportedGroup
from cowslipstep.fleet._runners import DiscoveredRunner, MemberState

# A leader that has vanished may finish its requests before it has to leave.
_FINISH_S = 1.5


_FREE = Judgement(free=True)
_KEPT = Judgement.keep()


def judge(
    view: FleetView,
    reported_group: ReportedGroup,
    leaderless_s: float,
) -> Judgement:
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
        return _FREE
    leader = reported_group.leader
    if leader is None:
        return _judge_leaderless(view, reported_group, leaderless_s)
    match reported_group.leader_state:
        case MemberState.joining:
            return _KEPT if _is_whole(view, reported_group) else _FREE
        case MemberState.ready:
            return _judge_ready(view, reported_group, leader)
        case _:
            return _judge_serving(view, reported_group, leader)


def _is_whole(view: FleetView, reported_group: ReportedGroup) -> bool:
    model = view.engine.model(reported_group.model)
    return model is not None and reported_group.is_whole(model.group_size)


def _judge_leaderless(
    view: FleetView,
    reported_group: ReportedGroup,
    leaderless_s: float,
) -> Judgement:
    key = reported_group.key
    leader = view.members.get(key, {}).get(0)
    if leader is None or leader.name in view.lost_runners:
        return _members_leave(reported_group)
    if leader.name in view.runners:
        # Registered without this group: it has left or restarted.
        return _FREE
    if leader.name not in view.reachable_unregistered:
        return _members_leave(reported_group)
    if leaderless_s < _FINISH_S:
        return Judgement.keep(CloseGroup(key, leader))
    return Judgement.keep(LeaveGroup(key, leader))


def _judge_ready(
    view: FleetView,
    reported_group: ReportedGroup,
    leader: DiscoveredRunner,
) -> Judgement:
    if reported_group.draining or not _is_whole(view, reported_group):
        # A command to open may still be on its way to the leader.
        return Judgement.keep(LeaveGroup(reported_group.key, leader))
    if reported_group.are_ready():
        return Judgement.keep(OpenGroup(reported_group.key, leader))
    return _KEPT


def _judge_serving(
    view: FleetView,
    reported_group: ReportedGroup,
    leader: DiscoveredRunner,
) -> Judgement:
    if not (
        _is_whole(view, reported_group) or _members_answer(view, reported_group)
    ):
        return Judgement.keep(LeaveGroup(reported_group.key, leader))
    if (
        reported_group.draining
        and reported_group.leader_state is MemberState.open
    ):
        return Judgement.keep(CloseGroup(reported_group.key, leader))
    return _KEPT


def _members_answer(view: FleetView, reported_group: ReportedGroup) -> bool:
    """Whether all members that vanished still answer.

    Such a group serves on; once one of them has ended, its leader stands
    still.
    """
    known = view.members.get(reported_group.key, {})
    missing = [
        member.name
        for rank, member in known.items()
        if rank not in reported_group.members
    ]
    return bool(missing) and view.reachable_unregistered.issuperset(missing)


def _members_leave(reported_group: ReportedGroup) -> Judgement:
    """Free the members of a leader that cannot be told to leave."""
    leavings = (
        LeaveGroup(reported_group.key, member)
        for member in reported_group.members.values()
    )
    return Judgement.keep(*leavings)
