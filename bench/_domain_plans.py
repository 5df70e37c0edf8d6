"""Planning with and without re-packing."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.groups import DomainLedger, DomainView, plan_domain
from cowslipstep.model import Model

_UNLIMITED_LOADS = 100000


def repack(view: DomainView, model: Model) -> DomainLedger:
    """Plan as the keeper does."""
    return plan_domain(view, [model], _UNLIMITED_LOADS)


def first_fit(view: DomainView, model: Model) -> DomainLedger:
    """Keep a broken group's hosts until its member returns."""
    healthy = {
        host: evolve(record, misses=0) for host, record in view.records.items()
    }
    kept = evolve(view, records=healthy)
    broken = [host for host, record in view.records.items() if record.failed]
    return plan_domain(
        evolve(kept, excluded_hosts=frozenset(broken)),
        [model],
        _UNLIMITED_LOADS,
    )
