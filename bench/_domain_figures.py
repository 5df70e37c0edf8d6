"""Figures of a fleet whose hosts fail and return."""

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
    """Hosts of a fleet, spread over fabric domains."""

    hosts: int
    domains: int


@define
class RunFigures:
    """Stranded accelerators of each domain and step, and writes."""

    stranded: list[int] = field(factory=list)
    ledger_writes: int = 0
    claim_writes: int = 0

    @property
    def mean(self) -> float:
        """Mean of a domain."""
        return sum(self.stranded) / len(self.stranded)


def count_stranded(view: DomainView, model: Model) -> int:
    """Count accelerators of healthy hosts that no whole group uses."""
    whole = [
        group
        for group in view.ledger.groups
        if not any(view.records[host].failed for host in group.members)
    ]
    return stranded_accelerators(
        evolve(view, ledger=evolve(view.ledger, groups=tuple(whole))),
        [model],
    )


def count_writes(
    before: DomainLedger,
    after: DomainLedger,
    figures: RunFigures,
) -> None:
    """Add the updates of one ledger, or of one claim for each host."""
    if before.groups == after.groups:
        return
    figures.ledger_writes += 1
    changed = set(before.groups) ^ set(after.groups)
    figures.claim_writes += sum(len(group.members) for group in changed)
