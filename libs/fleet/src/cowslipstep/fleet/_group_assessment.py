"""Assessment of one reported group."""

from __future__ import annotations

from attrs import field, frozen

from cowslipstep.fleet._decisions import FleetDecision


@frozen
class GroupAssessment:
    """Decisions on a group, and whether its members are free."""

    members_free: bool
    decisions: tuple[FleetDecision, ...] = field(default=())

    @classmethod
    def keep_members(cls, *decisions: FleetDecision) -> GroupAssessment:
        """Return an assessment by which the members are not free."""
        return cls(members_free=False, decisions=decisions)
