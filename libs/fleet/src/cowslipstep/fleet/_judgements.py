"""Outcome of judging a group."""

from __future__ import annotations

from attrs import field, frozen

from cowslipstep.fleet._decisions import FleetDecision


@frozen
class Judgement:
    """Whether the members are free, and what shall be done meanwhile."""

    free: bool
    decisions: tuple[FleetDecision, ...] = field(default=())

    @classmethod
    def keep(cls, *decisions: FleetDecision) -> Judgement:
        """Keep the members meanwhile."""
        return cls(free=False, decisions=decisions)
