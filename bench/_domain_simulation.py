"""Simulation of random failures and returns of the hosts of a fleet."""

from __future__ import annotations

import random
from collections.abc import Callable

from _planning_figures import (
    FleetSize,
    PlanningFigures,
    count_stranded,
    record_writes,
)
from _domain_view import make_domain_view, make_full_model, healthy_record
from attrs import evolve

from cowslipstep.groups import DomainLedger, DomainView, HostRecord
from cowslipstep.model import Model

_STEPS = 400
_FAILURE_PROBABILITY = 0.02
_RETURN_PROBABILITY = 0.1
_STEP_S = 60

PlanFunction = Callable[[DomainView, Model], DomainLedger]


def simulate_fleet(
    size: FleetSize, plan: PlanFunction, seed: int
) -> PlanningFigures:
    """Simulate failures and returns of hosts; plan groups after each step."""
    figures = PlanningFigures()
    for number in range(size.domains):
        rng = random.Random(seed + number)
        _simulate_domain(size.hosts // size.domains, plan, rng, figures)
    return figures


def _simulate_domain(
    hosts: int,
    plan: PlanFunction,
    rng: random.Random,
    figures: PlanningFigures,
) -> None:
    view = make_domain_view(hosts)
    model = make_full_model(hosts)
    for step in range(_STEPS):
        view = _fail_and_return_hosts(view, rng, step * _STEP_S)
        planned = plan(view, model)
        record_writes(view.ledger, planned, figures)
        view = evolve(view, ledger=planned)
        figures.stranded.append(count_stranded(view, model))


def _fail_and_return_hosts(
    view: DomainView, rng: random.Random, now_s: float
) -> DomainView:
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
        returns = rng.random() < _RETURN_PROBABILITY
        return healthy_record(host, now_s) if returns else record
    if rng.random() < _FAILURE_PROBABILITY:
        return HostRecord(misses=3)
    return healthy_record(host, now_s)
