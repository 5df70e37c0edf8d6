"""Random failures and returns of the hosts of a fleet."""

from __future__ import annotations

import random
from collections.abc import Callable

from _domain_figures import FleetSize, RunFigures, count_stranded, count_writes
from _domain_view import domain_view, full_model, healthy_record
from attrs import evolve

from cowslipstep.groups import DomainLedger, DomainView, HostRecord
from cowslipstep.model import Model

_STEPS = 400
_FAIL_SHARE = 0.02
_RETURN_SHARE = 0.1
_STEP_S = 60

Plan = Callable[[DomainView, Model], DomainLedger]


def run_fleet(size: FleetSize, plan: Plan, seed: int) -> RunFigures:
    """Let hosts fail and return, and plan after each step."""
    figures = RunFigures()
    for number in range(size.domains):
        rng = random.Random(seed + number)
        _run_domain(size.hosts // size.domains, plan, rng, figures)
    return figures


def _run_domain(
    hosts: int,
    plan: Plan,
    rng: random.Random,
    figures: RunFigures,
) -> None:
    view = domain_view(hosts)
    model = full_model(hosts)
    for step in range(_STEPS):
        view = _strike(view, rng, step * _STEP_S)
        planned = plan(view, model)
        count_writes(view.ledger, planned, figures)
        view = evolve(view, ledger=planned)
        figures.stranded.append(count_stranded(view, model))


def _strike(view: DomainView, rng: random.Random, now_s: float) -> DomainView:
    records = {
        host: _next_record(host, record, rng, now_s)
        for host, record in view.records.items()
    }
    return evolve(view, records=records, now_s=now_s)


def _next_record(
    host: str,
    record: HostRecord,
    rng: random.Random,
    now_s: float,
) -> HostRecord:
    if record.failed:
        back = rng.random() < _RETURN_SHARE
        return healthy_record(host, now_s) if back else record
    if rng.random() < _FAIL_SHARE:
        return HostRecord(misses=3)
    return healthy_record(host, now_s)
