"""Outcome of judging a group."""

from __future__ import annotations

from attrs import field, frozen

from cowslipstep.fleet._decisions import FleetDecision


@frozen
class GroupAssessment:
    """Whether the members are free, and what shall be done meanwhile."""

    members_free: bool
    decisions: tuple[FleetDecision, ...] = field(default=())

    @classmethod
    def keep_members(cls, *decisions: FleetDecision) -> GroupAssessment:
        """Keep the members meanwhile."""
        return cls(members_free=False, decisions=decisions)
