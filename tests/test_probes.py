"""Steps of the feature on shared probes."""

from __future__ import annotations

import contextlib
import functools
import json
import time
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep.routing import rank_owners
from cowslipstep_standins._background import background_load
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('probes.feature')

_SHAPE = FleetShape(
    daemons=4,
    hosts_per_domain=37,
    hosts_per_group=9,
    token_s=0.005,
)
_DOMAIN = 'port-louis'
_PROBERS = 2
_FEW_PROBES = 5
_CALLERS = 12


@define
class Case:
    """A fleet under load, and the group whose prober is struck."""

    fleet: LocalFleet
    prober: str
    group: dict[str, Any]
    before: list[dict[str, Any]] = field(factory=list)
    struck_s: float = 0

    @property
    def member(self) -> str:
        """The member that dies; it does not lead."""
        return self.group['members'][-1]

    def runs_of(self, group: dict[str, Any]) -> list[float]:
        runs = engine_runs(self.fleet)
        name = group['name']
        return [run['started_s'] for run in runs if run['group'] == name]

    def new_runs(self) -> list[float]:
        formed = [
            group
            for group in _read_ledger(self.fleet)['groups']
            if group not in self.before and self.member not in group['members']
        ]
        return [start for group in formed for start in self.runs_of(group)]


def _read_ledger(fleet: LocalFleet) -> Any:
    platform = fleet.plan.platform
    url = f'http://{platform}/objects/ledger/{_DOMAIN}'
    return json.loads(urllib3.request('GET', url).json()['body'])


def _prober_of(group: dict[str, Any]) -> str:
    daemons = [f'd{number}' for number in range(_SHAPE.daemons)]
    probers = rank_owners(_DOMAIN, daemons)[:_PROBERS]
    return rank_owners(group['name'], probers)[0]


def _probed_by_one(fleet: LocalFleet, address: str) -> bool:
    recent = fleet.control(address)['probes'][-_FEW_PROBES:]
    return len(recent) == _FEW_PROBES and len(frozenset(recent)) == 1


def _choose_case(fleet: LocalFleet) -> Case:
    ledger = _read_ledger(fleet)
    keeper = ledger['lease']['holder']
    group = next(
        group for group in ledger['groups'] if _prober_of(group) != keeper
    )
    return Case(fleet, _prober_of(group), group, ledger['groups'])


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given(
    'four daemons that share the probes of a domain, under load',
    target_fixture='case',
)
def given_case(stack: contextlib.ExitStack) -> Case:
    fleet = stack.enter_context(local_fleet(_SHAPE))
    case = _choose_case(fleet)
    others = {daemon.name for daemon in fleet.plan.daemons} - {case.prober}
    stack.enter_context(background_load(fleet, _CALLERS, daemons=tuple(others)))
    wait_until(
        lambda: all(case.runs_of(entry) for entry in case.before),
        'load on all groups',
    )
    return case


@then('each host is probed by one daemon')
def check_probes(case: Case) -> None:
    for host in case.fleet.plan.hosts:
        probed = functools.partial(_probed_by_one, case.fleet, host.address)
        wait_until(probed, 'one prober of each host')


@when(
    parsers.re(
        'the prober of a group is (?P<fault>frozen|killed) and a member of '
        'the group dies',
    ),
)
def strike(case: Case, fault: str) -> None:
    case.struck_s = time.monotonic()
    prober = case.fleet.daemon(case.prober)
    if fault == 'frozen':
        prober.freeze()
    else:
        prober.kill()
    addresses = {host.name: host.address for host in case.fleet.plan.hosts}
    case.fleet.control(addresses[case.member], {'dead': True})


@then('a group without the member serves')
def check_formed(case: Case) -> None:
    wait_until(lambda: bool(case.new_runs()), 'a new group', timeout_s=25)


@then(
    parsers.parse(
        'no request started on the old group later than {seconds:d} seconds '
        'after',
    ),
)
def check_no_late_run(case: Case, seconds: int) -> None:
    assert max(case.runs_of(case.group)) <= case.struck_s + seconds


@then('the groups that other daemons probe served meanwhile')
def check_others(case: Case) -> None:
    until_s = min(case.new_runs())
    for group in case.before:
        if _prober_of(group) != case.prober:
            starts = case.runs_of(group)
            assert any(case.struck_s < start < until_s for start in starts)
