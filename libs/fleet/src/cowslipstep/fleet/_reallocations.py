"""Groups that end so that a model which is asked for more gets their runners.

Runners of a group that broke are often too few for another one of its model,
and go to a model of smaller groups. Without a reallocation a model of large
groups loses a group with each failure, whatever is asked for.
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
from cowslipstep.fleet._reported_groups import GroupKey, ReportedGroup
from cowslipstep.fleet._runners import MemberState

# Runners join another group, or fail to, within this time, seconds.
_JOINING_S = 4
# The demand is smoothed; it shows the effect of a reallocation after this time.
_REST_S = 3


class Reallocations:
    """Carries out one reallocation after the other."""

    def __init__(self) -> None:
        self._reallocation: Reallocation | None = None
        self._rest_until_s: float = 0

    def __contains__(self, key: GroupKey) -> bool:
        return (
            self._reallocation is not None and key in self._reallocation.ending
        )

    @property
    def claimed(self) -> frozenset[str]:
        """Names of the members of the new group."""
        return self._reallocation.names if self._reallocation else frozenset()

    def settle(self, view: FleetView, found: ReportedGroups) -> None:
        """Forget a reallocation that is done or has failed."""
        reallocation = self._reallocation
        if reallocation is None:
            return
        present = frozenset(runner.name for runner in view.present)
        failed = (
            reallocation.until_s <= view.now_s or reallocation.needed - present
        )
        if failed or (reallocation.formed and _has_moved(reallocation, found)):
            self._reallocation = None
            self._rest_until_s = view.now_s + _REST_S

    def endings(
        self,
        view: FleetView,
        found: ReportedGroups,
        claimed: Collection[str],
        counts: Mapping[str, int],
    ) -> Iterator[CloseGroup | LeaveGroup]:
        """Yield what ends groups, those of a new reallocation too.

        A leader that has closed leaves as well: a command to open it may still
        be on its way.
        """
        if self._reallocation is None and view.now_s >= self._rest_until_s:
            possible = PossibleReallocations(view, found, claimed)
            self._reallocation = ReallocationChoice(
                view, counts, possible
            ).best()
        if self._reallocation is None or self._reallocation.formed:
            return
        for key, leader in self._reallocation.ending.items():
            match _leader_state(found.get(key)):
                case MemberState.open:
                    yield CloseGroup(key, leader)
                case MemberState.ready:
                    yield LeaveGroup(key, leader)

    def next_group(
        self,
        view: FleetView,
        found: ReportedGroups,
    ) -> ChosenGroup | None:
        """Return the group to form once the others have closed."""
        reallocation = self._reallocation
        if reallocation is None or reallocation.formed:
            return None
        staying = reallocation.ending.keys() - view.departed
        if any(map(_leader_state, map(found.get, staying))):
            return None
        until_s = view.now_s + _JOINING_S
        self._reallocation = evolve(reallocation, formed=True, until_s=until_s)
        return ChosenGroup(
            reallocation.model,
            reallocation.members,
            loading=(),
            ready_s=reallocation.model.warm_s,
        )


def _leader_state(reported_group: ReportedGroup | None) -> MemberState | None:
    """Return the state of a leader that has not left its group."""
    return reported_group.leader_state if reported_group else None


def _has_moved(reallocation: Reallocation, found: ReportedGroups) -> bool:
    """Whether no member of the new group reports its former group."""
    former = (found[key] for key in reallocation.ending if key in found)
    return not any(reallocation.names & group.names for group in former)
