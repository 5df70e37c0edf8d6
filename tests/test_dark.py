"""Steps of the feature on a fabric domain that goes dark."""

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

scenarios('dark.feature')

_DARK = 'port-louis'
_OTHER = 'ebene'
_LOAD_S = 1
_SHAPE = FleetShape(
    daemons=4,
    failure_domains=(_DARK, _OTHER),
    hosts_per_domain=8,
    token_s=0.005,
    load_s=_LOAD_S,
)
_RENEWAL_S = 3
_CALLERS = 12
# Backing off from 0.25 s to 8 s, with some to spare.
_FEW_PROBES = 12


@define
class Case:
    """A fleet of two domains and what was so before the fault."""

    fleet: LocalFleet
    groups: dict[str, list[str]]
    records: dict[str, Any] = field(factory=dict)
    writes: int = 0
    struck_s: float = 0
    dark_s: float = 0

    @property
    def dark_hosts(self) -> list[Any]:
        hosts = self.fleet.plan.hosts
        return [host for host in hosts if host.failure_domain == _DARK]

    def read(self) -> dict[str, Any]:
        return {
            host.name: self.fleet.control(host.address)
            for host in self.dark_hosts
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

    def control_all(self, faults: dict[str, Any]) -> None:
        for host in self.dark_hosts:
            self.fleet.control(host.address, faults)


def _probe_counts(case: Case) -> list[int]:
    return [len(now['probes']) for now in case.read().values()]


def _probed_since(counts: list[int], case: Case) -> bool:
    pairs = zip(counts, _probe_counts(case), strict=True)
    return all(now > before + 1 for before, now in pairs)


def _states(case: Case) -> set[str]:
    return {host['state'] for host in case.read().values()}


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
    groups = {domain: _groups(fleet, domain) for domain in (_DARK, _OTHER)}
    case = Case(fleet, groups)
    wait_until(
        lambda: all(case.runs_since(0, names) for names in groups.values()),
        'load on both domains',
    )
    wait_until(lambda: _states(case) == {'ready'}, 'all hosts loaded')
    counts = _probe_counts(case)
    wait_until(lambda: _probed_since(counts, case), 'probes of loaded hosts')
    return case


@when(
    parsers.parse(
        'all hosts of one domain are unreachable for {seconds:d} seconds',
    ),
)
def go_dark(case: Case, seconds: int) -> None:
    case.records = case.read()
    case.writes = case.count_writes()
    case.struck_s = time.monotonic()
    case.control_all({'dead': True})
    time.sleep(seconds)
    case.dark_s = time.monotonic() - case.struck_s


@then('hosts of the dark domain got few probes and no order')
def check_quiet(case: Case) -> None:
    for host, now in case.read().items():
        before = case.records[host]
        assert len(now['probes']) - len(before['probes']) <= _FEW_PROBES
        assert now['orders'] == before['orders']


@then('the ledgers were written no more often than at rest')
def check_writes(case: Case) -> None:
    elapsed_s = time.monotonic() - case.struck_s
    at_rest = len(case.groups) * (elapsed_s / _RENEWAL_S + 1)
    assert case.count_writes() - case.writes <= at_rest
    assert _groups(case.fleet, _DARK) == case.groups[_DARK]


@then('the other domain served on unchanged')
def check_other(case: Case) -> None:
    assert _groups(case.fleet, _OTHER) == case.groups[_OTHER]
    settled_s = case.struck_s + 2
    assert case.runs_since(settled_s, case.groups[_OTHER])
    late = case.runs_since(settled_s, case.groups[_DARK])
    assert not late


@when('the hosts come back as they were')
def come_back(case: Case) -> None:
    case.struck_s = time.monotonic()
    case.control_all({})


@then('the dark domain serves with its old groups and got no order')
def check_old_groups(case: Case) -> None:
    wait_until(
        lambda: bool(case.runs_since(case.struck_s, case.groups[_DARK])),
        'old groups serve again',
    )
    for host, now in case.read().items():
        assert now['orders'] == case.records[host]['orders']


@when('the hosts come back without weights')
def restart(case: Case) -> None:
    case.control_all({'restarted': True})


@then('the dark domain serves with new groups')
def check_new_groups(case: Case) -> None:
    wanted = len(case.groups[_DARK])
    wait_until(
        lambda: _serving_new(case) == wanted,
        'all groups formed anew',
        timeout_s=60,
    )


def _serving_new(case: Case) -> int:
    old = case.groups[_DARK]
    names = frozenset(_groups(case.fleet, _DARK)).difference(old)
    held = [case.fleet.control(host.address) for host in case.dark_hosts]
    ready = [host['group'] for host in held if host['state'] == 'ready']
    per_group = _SHAPE.hosts_per_group
    return sum(ready.count(name) == per_group for name in names)


@then(parsers.parse('at most {limit:d} hosts loaded weights at once'))
def check_pacing(case: Case, limit: int) -> None:
    starts = list(_new_loads(case))
    assert starts
    for start in starts:
        ages = [start - earlier for earlier in starts]
        assert sum(0 <= age < _LOAD_S for age in ages) <= limit


def _new_loads(case: Case) -> Iterator[float]:
    for now in case.read().values():
        for order in now['orders']:
            if order['order'] == 'assign' and order['at_s'] > case.struck_s:
                yield order['at_s']
