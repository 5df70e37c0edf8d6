"""Ends groups of one model so that a busier model gets their runners.

When a group breaks, its remaining runners are often too few for a new group of
its model and go to a model with smaller groups. Without reallocations, a model
with large groups would lose a group with each failure, whatever its demand.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterator, Mapping

from attrs import evolve

from cowslipstep.fleet._decisions import CloseGroup, FleetView, LeaveGroup
from cowslipstep.fleet._group_choice import ChosenGroup
from cowslipstep.fleet._possible_reallocations import (
    PossibleReallocations,
    Reallocation,
    ReportedGroups,
)
from cowslipstep.fleet._reallocation_choice import ReallocationChoice
from cowslipstep.fleet._runners import MemberState
from cowslipstep.fleet._running_reallocations import (
    RunningReallocations,
    leader_state,
    planned_changes,
)

StartReallocations = Callable[
    [
        RunningReallocations,
        FleetView,
        ReportedGroups,
        Collection[str],
        Mapping[str, int],
    ],
    None,
]
# A reallocation fails if its runners have not moved to the new group within
# this time.
_JOIN_TIMEOUT_S = 4
# Groups of a model that may end at the same time, as a share of all; one
# reallocation may always run, and any that ends one group only: otherwise the
# survivors of a broken group would be divided among small groups.
_MAX_ENDING_SHARE = 0.1


def start_reallocations(
    running: RunningReallocations,
    view: FleetView,
    reported: ReportedGroups,
    claimed: Collection[str],
    counts: Mapping[str, int],
) -> None:
    """Start the reallocations that are worth their cost.

    Parameters
    ----------
    running
        Reallocations that have begun; the chosen ones are added.
    view
        State of the fleet.
    reported
        Groups as their members report them.
    claimed
        Names of runners that are not free.
    counts
        Number of groups of each model that serve or will soon be ready,
        without the changes of running reallocations.
    """
    while True:
        changed = Counter(counts)
        changed.update(planned_changes(running, reported))
        possible = PossibleReallocations(
            view,
            reported,
            running.claimed.union(claimed),
            running.excluded_domains(view.now_s),
        )
        chosen = ReallocationChoice(view, changed, possible).best()
        if chosen is None or not _may_start(chosen, running, counts, reported):
            return
        running.put(chosen)


def ending_decisions(
    running: RunningReallocations, reported: ReportedGroups
) -> Iterator[CloseGroup | LeaveGroup]:
    """Yield decisions that end groups.

    A leader that has closed is also commanded to leave its group, since a
    command to open it may still be in flight.
    """
    for reallocation in running.unformed:
        for key, leader in reallocation.ending_leaders.items():
            match leader_state(reported.get(key)):
                case MemberState.open:
                    yield CloseGroup(key, leader)
                case MemberState.ready:
                    yield LeaveGroup(key, leader)


def groups_to_form(
    running: RunningReallocations, view: FleetView, reported: ReportedGroups
) -> Iterator[ChosenGroup]:
    """Yield the new groups of which all ending groups have ended."""
    for reallocation in running.unformed:
        not_departed = reallocation.ending_leaders.keys() - view.departed
        if any(map(leader_state, map(reported.get, not_departed))):
            continue
        fails_at_s = view.now_s + _JOIN_TIMEOUT_S
        running.put(evolve(reallocation, formed=True, fails_at_s=fails_at_s))
        yield ChosenGroup(
            reallocation.model,
            reallocation.members,
            loading=(),
            time_to_ready_s=reallocation.model.staged_load_s,
        )


def _may_start(
    chosen: Reallocation,
    running: RunningReallocations,
    counts: Mapping[str, int],
    reported: ReportedGroups,
) -> bool:
    """Return whether few enough groups of the donor end already."""
    if not chosen.ends_several:
        return True
    donor = reported[next(iter(chosen.ending_leaders))].model
    ending = sum(
        len(reallocation.ending_leaders) for reallocation in running.unformed
    )
    total = ending + len(chosen.ending_leaders)
    return not ending or total <= _MAX_ENDING_SHARE * counts.get(donor, 0)
