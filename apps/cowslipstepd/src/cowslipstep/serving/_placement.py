"""What this daemon knows of the loads by which it chooses a group."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import fmean

from cowslipstep.routing import (
    Follower,
    GroupView,
    MeshMember,
    ModelTimes,
    Role,
)
from cowslipstep.routing.late_loads import (
    LoadAge,
    PreferOwnGroups,
    own_groups,
)
from cowslipstep.serving._state import ServingState

# A relay sends each 0.2 s, so that what it passes on waits half of that.
_RELAY_DELAY_S = 0.1


def group_placement(
    state: ServingState, views: Iterable[GroupView], times: ModelTimes
) -> PreferOwnGroups:
    """Return the choice among the groups of a model where requests begin."""
    leaders = [view.group.leader.name for view in views]
    report_ages_s = state.loads.report_ages_s or (0,)
    age_s = fmean(report_ages_s) + _report_delay_s(state.relay_role.current)
    return PreferOwnGroups(
        own_groups(leaders, state.fleet_place),
        LoadAge(age_s, times.usual_held_s),
    )


def _report_delay_s(role: Role) -> float:
    """Return the usual age of a report when it arrives."""
    match role:
        case MeshMember():
            return 0
        case Follower():
            # Through the relay of the sender and that of the receiver.
            return 2 * _RELAY_DELAY_S
        case _:
            return _RELAY_DELAY_S
