"""Groups that were ordered and do not serve yet."""

from __future__ import annotations

import math
from collections.abc import Mapping

from attrs import frozen

from cowslipstep.fleet._decisions import FleetView, FormGroup, OpenGroup
from cowslipstep.fleet._reported_groups import GroupKey, ReportedGroup
from cowslipstep.fleet._runners import MemberState

# A group that is not ready after this many of its load times has failed.
_OVERDUE_FACTOR = 3
_MIN_PATIENCE_S = 4
_SERVED = frozenset((MemberState.open, MemberState.closing, MemberState.broken))


@frozen
class _Pending:
    decision: FormGroup
    ready_at_s: float
    until_s: float

    @property
    def names(self) -> frozenset[str]:
        """Names of its members."""
        return frozenset(member.name for member in self.decision.members)


class PendingGroups:
    """Remembers ordered groups until they serve or have failed."""

    def __init__(self) -> None:
        self._pending: dict[GroupKey, _Pending] = {}

    def __contains__(self, key: GroupKey) -> bool:
        return key in self._pending

    @property
    def claimed(self) -> frozenset[str]:
        """Names of all members."""
        return frozenset().union(
            *(pending.names for pending in self._pending.values()),
        )

    def models(self, ready_by_s: float = math.inf) -> list[str]:
        """Return the model of each group that is ready by a clock reading."""
        return [
            pending.decision.model
            for pending in self._pending.values()
            if pending.ready_at_s <= ready_by_s
        ]

    def add(self, decision: FormGroup, now_s: float, takes_s: float) -> None:
        """Remember a group that should be ready after a time."""
        patience_s = max(_MIN_PATIENCE_S, _OVERDUE_FACTOR * takes_s)
        self._pending[decision.key] = _Pending(
            decision,
            now_s + takes_s,
            now_s + patience_s,
        )

    def drop_ended(
        self,
        view: FleetView,
        found: Mapping[GroupKey, ReportedGroup],
    ) -> None:
        """Forget groups that serve, took too long or lost a member."""
        present = frozenset(runner.name for runner in view.present)
        self._pending = {
            key: pending
            for key, pending in self._pending.items()
            if not _serves(found.get(key))
            and view.now_s < pending.until_s
            and pending.names <= present
        }

    def openings(
        self,
        found: Mapping[GroupKey, ReportedGroup],
    ) -> list[OpenGroup]:
        """Return the groups whose members are all ready."""
        openings = []
        for key, pending in self._pending.items():
            reported_group = found.get(key)
            if reported_group is None or reported_group.leader is None:
                continue
            whole = reported_group.is_whole(len(pending.decision.members))
            if whole and reported_group.are_ready():
                openings.append(OpenGroup(key, reported_group.leader))
        return openings


def _serves(reported_group: ReportedGroup | None) -> bool:
    return reported_group is not None and reported_group.leader_state in _SERVED
