"""Figures of group planning while hosts fail and return."""

from __future__ import annotations

from attrs import define, evolve, field, frozen

from cowslipstep.groups import (
    DomainLedger,
    DomainView,
    stranded_accelerators,
)
from cowslipstep.model import Model


@frozen
class FleetSize:
    """Number of hosts of a fleet and of its fabric domains."""

    hosts: int
    domains: int


@define
class PlanningFigures:
    """Stranded accelerators of each domain and step, and platform writes.

    Attributes
    ----------
    stranded
        Stranded accelerators of a domain after each step.
    ledger_writes
        Writes if one ledger holds the groups of a domain.
    claim_writes
        Writes if each host had a claim object of its own.
    """

    stranded: list[int] = field(factory=list)
    ledger_writes: int = 0
    claim_writes: int = 0

    @property
    def mean_stranded(self) -> float:
        """Mean number of stranded accelerators of a domain."""
        return sum(self.stranded) / len(self.stranded)


def count_stranded(view: DomainView, model: Model) -> int:
    """Count accelerators of healthy hosts that are in no intact group."""
    intact_groups = [
        group
        for group in view.ledger.groups
        if not any(view.records[host].failed for host in group.members)
    ]
    return stranded_accelerators(
        evolve(view, ledger=evolve(view.ledger, groups=tuple(intact_groups))),
        [model],
    )


def record_writes(
    before: DomainLedger,
    after: DomainLedger,
    figures: PlanningFigures,
) -> None:
    """Add the writes of a plan, for one ledger and for a claim of each host."""
    if before.groups == after.groups:
        return
    figures.ledger_writes += 1
    changed = set(before.groups) ^ set(after.groups)
    figures.claim_writes += sum(len(group.members) for group in changed)
