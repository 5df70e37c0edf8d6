"""Tests of the planning of a fabric domain."""

from __future__ import annotations

import pytest
from attrs import evolve

from cowslipstep.groups import (
    DomainLedger,
    DomainView,
    HostRecord,
    HostReport,
    HostState,
    plan_domain,
    stranded_accelerators,
)
from cowslipstep.model import Address, Model, Runner

MODEL = Model('drafting', hosts_per_group=2, groups=2)
FAILED = HostRecord(misses=3)
# Limit of concurrent loads, and the number of groups formed within it.
LIMITS = ((1, 1), (3, 1), (4, 2))


def _runner(host: str) -> Runner:
    return Runner(host, Address('127.0.0.1', 1), 'fd', 'fab')


def _record(host: str, **changes) -> HostRecord:
    report = HostReport(host, '', HostState.idle, 0)
    return HostRecord(evolve(report, **changes))


def _view(hosts: int) -> DomainView:
    names = [f'h{number}' for number in range(hosts)]
    return DomainView(
        DomainLedger('fab'),
        tuple(_runner(name) for name in names),
        {name: _record(name, model='drafting') for name in names},
        0,
    )


def _planned(view: DomainView, **changes) -> DomainView:
    changed = evolve(view, **changes)
    return evolve(changed, ledger=plan_domain(changed, [MODEL]))


def _members(view: DomainView) -> list[tuple[str, ...]]:
    return [group.members for group in view.ledger.groups]


def test_spare_replaces_a_failed_member() -> None:
    formed = _planned(_view(5))
    assert _members(formed) == [('h0', 'h1'), ('h2', 'h3')]
    records = {**formed.records, 'h1': FAILED}
    replaced = _planned(formed, records=records)
    assert _members(replaced) == [('h2', 'h3'), ('h0', 'h4')]
    assert replaced.ledger.groups[1].name == 'fab-3'


def test_no_change_while_no_host_answers() -> None:
    formed = _planned(_view(5))
    unreachable = dict.fromkeys(formed.records, FAILED)
    assert _planned(formed, records=unreachable).ledger == formed.ledger


def test_excluded_hosts_join_no_group() -> None:
    formed = _planned(_view(4), excluded_hosts=frozenset(('h0',)))
    assert _members(formed) == [('h1', 'h2')]


def test_drained_group_is_replaced() -> None:
    formed = _planned(_view(5))
    drained = _planned(
        formed,
        excluded_hosts=frozenset(('h0',)),
        drained_groups=frozenset(('fab-1',)),
    )
    assert _members(drained) == [('h2', 'h3'), ('h1', 'h4')]


@pytest.mark.parametrize(('limit', 'groups'), LIMITS)
def test_loads_are_limited(limit: int, groups: int) -> None:
    view = _view(6)
    empty = {host: _record(host) for host in view.records}
    unloaded = evolve(view, records=empty)
    formed = plan_domain(unloaded, [MODEL], limit).groups
    assert len(formed) == groups


def test_model_that_lacks_most_goes_first() -> None:
    other = Model('records', hosts_per_group=2, groups=1)
    view = _planned(_view(2))
    larger = evolve(_view(4), ledger=view.ledger)
    groups = plan_domain(larger, [MODEL, other]).groups
    assert [group.model for group in groups] == ['drafting', 'records']


def test_stranded_only_while_a_group_is_missing() -> None:
    incomplete = _planned(_view(3))
    assert stranded_accelerators(incomplete, [MODEL]) == 2
    complete = _planned(_view(5))
    assert not stranded_accelerators(complete, [MODEL])
