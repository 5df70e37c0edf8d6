"""Groups that were formed by a decision but have not opened yet."""

from __future__ import annotations

import math
from collections.abc import Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import (
    FleetView,
    FormGroup,
    OpenGroup,
    usable_names,
)
from cowslipstep.fleet._reported_groups import ReportedGroup
from cowslipstep.fleet._runners import GroupId, MemberState

# A group that has not opened after this many times its expected time to become
# ready has failed, but not before the minimum timeout.
_READY_TIMEOUT_FACTOR = 3
_MIN_READY_TIMEOUT_S = 4
_OPENED_STATES = frozenset(
    (MemberState.open, MemberState.closing, MemberState.broken)
)


@frozen
class _PendingGroup:
    decision: FormGroup
    expected_ready_s: float
    fails_at_s: float

    @property
    def member_names(self) -> frozenset[str]:
        """Names of the group's members."""
        return frozenset(member.name for member in self.decision.members)


class PendingGroups:
    """Tracks groups from the decision to form them until they open or fail."""

    def __init__(self) -> None:
        self._pending_groups: dict[GroupId, _PendingGroup] = {}

    def __contains__(self, key: GroupId) -> bool:
        return key in self._pending_groups

    @property
    def claimed(self) -> frozenset[str]:
        """Names of the members of all pending groups."""
        return frozenset().union(
            *(
                pending.member_names
                for pending in self._pending_groups.values()
            ),
        )

    def models(self, ready_by_s: float = math.inf) -> list[str]:
        """Return the model of each group that should be ready by that time."""
        return [
            pending.decision.model
            for pending in self._pending_groups.values()
            if pending.expected_ready_s <= ready_by_s
        ]

    def add(
        self, decision: FormGroup, now_s: float, time_to_ready_s: float
    ) -> None:
        """Track a group that should be ready after ``time_to_ready_s``."""
        timeout_s = max(
            _MIN_READY_TIMEOUT_S, _READY_TIMEOUT_FACTOR * time_to_ready_s
        )
        self._pending_groups[decision.key] = _PendingGroup(
            decision,
            now_s + time_to_ready_s,
            now_s + timeout_s,
        )

    def drop_ended(
        self,
        view: FleetView,
        reported: Mapping[GroupId, ReportedGroup],
    ) -> None:
        """Drop groups that opened, timed out, or lost a member.

        A member whose failure domain is evacuated counts as lost.
        """
        answering_names = usable_names(view)
        self._pending_groups = {
            key: pending
            for key, pending in self._pending_groups.items()
            if not _has_opened(reported.get(key))
            and view.now_s < pending.fails_at_s
            and pending.member_names <= answering_names
        }

    def groups_to_open(
        self,
        reported: Mapping[GroupId, ReportedGroup],
    ) -> list[OpenGroup]:
        """Return decisions to open the groups whose members are all ready."""
        groups_to_open = []
        for key, pending in self._pending_groups.items():
            reported_group = reported.get(key)
            if reported_group is None or reported_group.leader is None:
                continue
            is_complete = reported_group.has_all_members(
                len(pending.decision.members)
            )
            if is_complete and reported_group.all_ready():
                groups_to_open.append(OpenGroup(key, reported_group.leader))
        return groups_to_open


def _has_opened(reported_group: ReportedGroup | None) -> bool:
    return (
        reported_group is not None
        and reported_group.leader_state in _OPENED_STATES
    )
