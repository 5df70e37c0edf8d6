"""Whether the members of a group are free, and what is to be done."""

from __future__ import annotations

from cowslipstep.fleet._decisions import (
    CloseGroup,
    FleetView,
    LeaveGroup,
    OpenGroup,
)
from cowslipstep.fleet._formations import Formation
from cowslipstep.fleet._judgements import Judgement
from cowslipstep.fleet._runners import DiscoveredRunner, SeatState

# A head that has vanished may finish its requests before it has to leave.
_FINISH_S = 1.5


_FREE = Judgement(free=True)
_KEPT = Judgement.keep()


def judge(
    view: FleetView,
    formation: Formation,
    headless_s: float,
) -> Judgement:
    """Judge one formation.

    A member is only taken for another group when it has left its group, or
    when its head has left, is broken or was never told to serve.

    Parameters
    ----------
    view
        The fleet.
    formation
        Runners that report the same group.
    headless_s
        How long no member has been its head.
    """
    broken = formation.head_state is SeatState.broken
    if broken or formation.key in view.left:
        # Whatever entries of members still say, the head serves no more.
        return _FREE
    head = formation.head
    if head is None:
        return _judge_headless(view, formation, headless_s)
    match formation.head_state:
        case SeatState.joining:
            return _KEPT if _is_whole(view, formation) else _FREE
        case SeatState.ready:
            return _judge_ready(view, formation, head)
        case _:
            return _judge_serving(view, formation, head)


def _is_whole(view: FleetView, formation: Formation) -> bool:
    model = view.engine.model(formation.model)
    return model is not None and formation.is_whole(model.group_size)


def _judge_headless(
    view: FleetView,
    formation: Formation,
    headless_s: float,
) -> Judgement:
    key = formation.key
    head = view.members.get(key, {}).get(0)
    if head is None or head.name in view.lost:
        return _members_leave(formation)
    if head.name in view.runners:
        # Registered without this group: it has left or restarted.
        return _FREE
    if head.name not in view.heard:
        return _members_leave(formation)
    if headless_s < _FINISH_S:
        return Judgement.keep(CloseGroup(key, head))
    return Judgement.keep(LeaveGroup(key, head))


def _judge_ready(
    view: FleetView,
    formation: Formation,
    head: DiscoveredRunner,
) -> Judgement:
    if formation.draining or not _is_whole(view, formation):
        # An order to open may still be on its way to the head.
        return Judgement.keep(LeaveGroup(formation.key, head))
    if formation.are_ready():
        return Judgement.keep(OpenGroup(formation.key, head))
    return _KEPT


def _judge_serving(
    view: FleetView,
    formation: Formation,
    head: DiscoveredRunner,
) -> Judgement:
    if not (_is_whole(view, formation) or _members_answer(view, formation)):
        return Judgement.keep(LeaveGroup(formation.key, head))
    if formation.draining and formation.head_state is SeatState.open:
        return Judgement.keep(CloseGroup(formation.key, head))
    return _KEPT


def _members_answer(view: FleetView, formation: Formation) -> bool:
    """Whether all members that vanished still answer.

    Such a group serves on; once one of them has ended, its head stands
    still.
    """
    known = view.members.get(formation.key, {})
    missing = [
        member.name
        for rank, member in known.items()
        if rank not in formation.members
    ]
    return bool(missing) and view.heard.issuperset(missing)


def _members_leave(formation: Formation) -> Judgement:
    """Free the members of a head that cannot be told to leave."""
    leavings = (
        LeaveGroup(formation.key, member)
        for member in formation.members.values()
    )
    return Judgement.keep(*leavings)
