"""Planning of groups with and without re-packing of hosts."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.groups import DomainLedger, DomainView, plan_domain
from cowslipstep.model import Model

_UNLIMITED_MODEL_LOADS = 100000


def plan_with_repacking(view: DomainView, model: Model) -> DomainLedger:
    """Plan as the controller does."""
    return plan_domain(view, [model], _UNLIMITED_MODEL_LOADS)


def plan_without_repacking(view: DomainView, model: Model) -> DomainLedger:
    """Plan without dissolving groups that have lost a member.

    Such a group keeps its hosts until the failed member returns.
    """
    healthy = {
        host: evolve(record, misses=0) for host, record in view.records.items()
    }
    all_healthy = evolve(view, records=healthy)
    failed_hosts = [
        host for host, record in view.records.items() if record.failed
    ]
    return plan_domain(
        evolve(all_healthy, excluded_hosts=frozenset(failed_hosts)),
        [model],
        _UNLIMITED_MODEL_LOADS,
    )
