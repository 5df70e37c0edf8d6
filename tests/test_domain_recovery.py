"""Steps of the feature on the recovery of an unreachable fabric domain."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep_standins._background_load import background_load
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('domain_recovery.feature')

_FAILED_DOMAIN = 'port-louis'
_OTHER_DOMAIN = 'ebene'
_WEIGHTS_LOAD_S = 1
_SHAPE = FleetShape(
    daemons=4,
    failure_domains=(_FAILED_DOMAIN, _OTHER_DOMAIN),
    hosts_per_domain=8,
    token_s=0.005,
    load_s=_WEIGHTS_LOAD_S,
)
_LEASE_RENEWAL_PERIOD_S = 3
_CALLERS = 12
# Probes back off from 0.25 s to 8 s; the bound leaves a margin.
_MAX_PROBES = 12


@define
class Case:
    """A fleet of two domains and its state before the fault.

    Attributes
    ----------
    groups
        Names of the groups of each domain.
    records
        Records of the hosts of the failed domain, before the fault.
    writes
        Writes of ledgers that the platform had counted before the fault.
    fault_s
        Time of the last fault, or of the return of the hosts (monotonic).
    """

    fleet: LocalFleet
    groups: dict[str, list[str]]
    records: dict[str, Any] = field(factory=dict)
    writes: int = 0
    fault_s: float = 0
    outage_s: float = 0

    @property
    def failed_hosts(self) -> list[Any]:
        hosts = self.fleet.plan.hosts
        return [host for host in hosts if host.failure_domain == _FAILED_DOMAIN]

    def read_records(self) -> dict[str, Any]:
        return {
            host.name: self.fleet.control(host.address)
            for host in self.failed_hosts
        }

    def count_writes(self) -> int:
        counts = self.fleet.control(self.fleet.plan.platform)['counts']
        return counts.get('PUT ledger', 0)

    def runs_since(self, start_s: float, groups: list[str]) -> frozenset[str]:
        return frozenset(
            run['group']
            for run in engine_runs(self.fleet)
            if run['started_s'] > start_s and run['group'] in groups
        )

    def set_faults(self, faults: dict[str, Any]) -> None:
        for host in self.failed_hosts:
            self.fleet.control(host.address, faults)


def _probe_counts(case: Case) -> list[int]:
    return [len(record['probes']) for record in case.read_records().values()]


def _probed_since(counts: list[int], case: Case) -> bool:
    pairs = zip(counts, _probe_counts(case), strict=True)
    return all(after > before + 1 for before, after in pairs)


def _states(case: Case) -> set[str]:
    return {host['state'] for host in case.read_records().values()}


def _groups(fleet: LocalFleet, domain: str) -> list[str]:
    platform = fleet.plan.platform
    url = f'http://{platform}/objects/ledger/{domain}'
    body = urllib3.request('GET', url).json()['body']
    return [group['name'] for group in json.loads(body)['groups']]


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given('two fabric domains, under load', target_fixture='case')
def given_case(stack: contextlib.ExitStack) -> Case:
    fleet = stack.enter_context(local_fleet(_SHAPE))
    stack.enter_context(background_load(fleet, _CALLERS))
    groups = {
        domain: _groups(fleet, domain)
        for domain in (_FAILED_DOMAIN, _OTHER_DOMAIN)
    }
    case = Case(fleet, groups)
    wait_until(
        lambda: all(case.runs_since(0, names) for names in groups.values()),
        'requests run on both domains',
    )
    wait_until(
        lambda: _states(case) == {'ready'},
        'all hosts have loaded their weights',
    )
    counts = _probe_counts(case)
    wait_until(
        lambda: _probed_since(counts, case),
        'each loaded host was probed twice more',
    )
    return case


@when(
    parsers.parse(
        'all hosts of one domain are unreachable for {seconds:d} seconds',
    ),
)
def fail_domain(case: Case, seconds: int) -> None:
    case.records = case.read_records()
    case.writes = case.count_writes()
    case.fault_s = time.monotonic()
    case.set_faults({'dead': True})
    time.sleep(seconds)
    case.outage_s = time.monotonic() - case.fault_s


@then('its hosts received few probes and no command')
def check_received(case: Case) -> None:
    for host, after in case.read_records().items():
        before = case.records[host]
        assert len(after['probes']) - len(before['probes']) <= _MAX_PROBES
        assert after['orders'] == before['orders']


@then('the ledgers were written no more often than without a fault')
def check_writes(case: Case) -> None:
    elapsed_s = time.monotonic() - case.fault_s
    max_writes = len(case.groups) * (elapsed_s / _LEASE_RENEWAL_PERIOD_S + 1)
    assert case.count_writes() - case.writes <= max_writes
    assert _groups(case.fleet, _FAILED_DOMAIN) == case.groups[_FAILED_DOMAIN]


@then('the other domain kept its groups and served')
def check_other(case: Case) -> None:
    assert _groups(case.fleet, _OTHER_DOMAIN) == case.groups[_OTHER_DOMAIN]
    settled_s = case.fault_s + 2
    assert case.runs_since(settled_s, case.groups[_OTHER_DOMAIN])
    late = case.runs_since(settled_s, case.groups[_FAILED_DOMAIN])
    assert not late


@when('the hosts come back with their groups and weights')
def come_back(case: Case) -> None:
    case.fault_s = time.monotonic()
    case.set_faults({})


@then('the domain serves with its old groups and received no command')
def check_old_groups(case: Case) -> None:
    wait_until(
        lambda: bool(
            case.runs_since(case.fault_s, case.groups[_FAILED_DOMAIN])
        ),
        'the old groups serve again',
    )
    for host, after in case.read_records().items():
        assert after['orders'] == case.records[host]['orders']


@when('the hosts come back without their groups and weights')
def lose_weights(case: Case) -> None:
    case.set_faults({'restarted': True})


@then('the domain serves with new groups')
def check_new_groups(case: Case) -> None:
    expected = len(case.groups[_FAILED_DOMAIN])
    wait_until(
        lambda: _serving_new(case) == expected,
        'new groups have formed',
        timeout_s=60,
    )


def _serving_new(case: Case) -> int:
    old = case.groups[_FAILED_DOMAIN]
    names = frozenset(_groups(case.fleet, _FAILED_DOMAIN)).difference(old)
    healths = [case.fleet.control(host.address) for host in case.failed_hosts]
    ready = [host['group'] for host in healths if host['state'] == 'ready']
    per_group = _SHAPE.hosts_per_group
    return sum(ready.count(name) == per_group for name in names)


@then(parsers.parse('at most {limit:d} hosts loaded weights at once'))
def check_pacing(case: Case, limit: int) -> None:
    starts = list(_load_starts(case))
    assert starts
    for start in starts:
        ages = [start - earlier for earlier in starts]
        assert sum(0 <= age < _WEIGHTS_LOAD_S for age in ages) <= limit


def _load_starts(case: Case) -> Iterator[float]:
    for record in case.read_records().values():
        for command in record['orders']:
            if command['order'] == 'assign' and command['at_s'] > case.fault_s:
                yield command['at_s']
