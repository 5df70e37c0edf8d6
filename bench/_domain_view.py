"""Synthetic fabric domains for benches."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.groups import (
    DomainLedger,
    DomainView,
    HostRecord,
    HostReport,
    HostState,
)
from cowslipstep.model import Address, Model, Runner


def make_domain_view(hosts: int) -> DomainView:
    """Return a domain whose hosts are all healthy and in no group."""
    address = Address('127.0.0.1', 1)
    runners = tuple(
        Runner(f'h{number}', address, 'fd', 'fab') for number in range(hosts)
    )
    records = {
        runner.host: healthy_record(runner.host, 0) for runner in runners
    }
    return DomainView(DomainLedger('fab'), runners, records, 0)


def make_full_model(hosts: int) -> Model:
    """Return a model whose groups need all hosts of a domain."""
    model = Model('drafting')
    return evolve(model, groups=hosts // model.hosts_per_group)


def healthy_record(host: str, now_s: float) -> HostRecord:
    """Return the record of a host whose last probe was answered."""
    return HostRecord(HostReport(host, '', HostState.idle, now_s))
