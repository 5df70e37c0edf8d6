"""Steps of the feature on groups."""

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

from cowslipstep_standins._background_load import (
    BackgroundLoad,
    background_load,
)
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._generation import prompt_digest
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('groups.feature')

_HTTP = urllib3.PoolManager(retries=False)
_DOMAIN = 'port-louis'
_LEDGER = f'objects/ledger/{_DOMAIN}'


@define
class Case:
    """A fleet under load and the member that a fault strikes."""

    fleet: LocalFleet
    load: BackgroundLoad
    old_group: dict[str, Any] = field(factory=dict)
    struck_s: float = 0
    ledger: Any = None
    orders: Any = None

    @property
    def member(self) -> str:
        """The member that a fault strikes; it does not lead."""
        return self.old_group['members'][-1]

    def ledger_now(self) -> Any:
        return _read_ledger(self.fleet)

    def strike(self, faults: dict[str, Any]) -> None:
        self.old_group = self.ledger_now()['groups'][0]
        self.struck_s = time.monotonic()
        self.fleet.control(_address(self.fleet, self.member), faults)


def _read_ledger(fleet: LocalFleet) -> Any:
    platform = fleet.plan.platform
    answer = _HTTP.request('GET', f'http://{platform}/{_LEDGER}')
    return json.loads(answer.json()['body'])


def _address(fleet: LocalFleet, host: str) -> str:
    return next(
        entry.address for entry in fleet.plan.hosts if entry.name == host
    )


def _health(fleet: LocalFleet, host: str) -> Any:
    address = _address(fleet, host)
    url = f'http://{address}/health'
    return _HTTP.request('GET', url, timeout=2).json()


def _put(fleet: LocalFleet, path: str, body: Any) -> None:
    platform = fleet.plan.platform
    url = f'http://{platform}/{path}'
    _HTTP.request('PUT', url, body=json.dumps(body))


def _serves_whole(fleet: LocalFleet, group: dict[str, Any]) -> bool:
    healths = [_health(fleet, member) for member in group['members']]
    return all(
        (health['group'], health['state']) == (group['name'], 'ready')
        for health in healths
    )


def _orders(fleet: LocalFleet) -> list[Any]:
    return [fleet.control(host.address)['orders'] for host in fleet.plan.hosts]


def _runs_of(fleet: LocalFleet, group: str) -> list[Any]:
    return [run for run in engine_runs(fleet) if run['group'] == group]


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given('a fleet with a spare host, under load', target_fixture='case')
def given_case(stack: contextlib.ExitStack) -> Case:
    shape = FleetShape(daemons=2, hosts_per_domain=5, token_s=0.005)
    fleet = stack.enter_context(local_fleet(shape))
    load = stack.enter_context(background_load(fleet))
    wait_until(lambda: len(load.outcomes) > 20, 'load')
    return Case(fleet, load)


@when(parsers.re('a member that does not lead is (?P<fault>dead|frozen)'))
def strike_member(case: Case, fault: str) -> None:
    case.strike({fault: True})


@when(
    parsers.parse(
        'the platform is down for {seconds:d} seconds and a member dies '
        'meanwhile',
    ),
)
def outage(case: Case, seconds: int) -> None:
    case.ledger = case.ledger_now()
    case.orders = _orders(case.fleet)
    _put(case.fleet, 'standin', {'outage': True})
    time.sleep(seconds / 2)
    case.old_group = case.ledger['groups'][0]
    case.struck_s = time.monotonic()
    case.fleet.control(_address(case.fleet, case.member), {'dead': True})
    time.sleep(seconds / 2)
    case.fleet.control(_address(case.fleet, case.member), {'dead': True})


@when(parsers.parse('a member leaves by {sign}'))
def leave(case: Case, sign: str) -> None:
    match sign:
        case 'its slowness':
            case.strike({'slow_factor': 10})
        case 'its own word':
            case.strike({'leaving': True})
        case "the platform's list":
            case.strike({})
            _put(case.fleet, 'hosts', {'live': [], 'leaving': [case.member]})
        case "an operator's drain":
            case.strike({})
            _drain(case)


def _drain(case: Case) -> None:
    body = json.dumps({'target': case.member, 'kind': 'host'})
    platform = case.fleet.plan.platform
    url = f'http://{platform}/objects/drain/{case.member}'
    _HTTP.request('POST', url, body=json.dumps({'body': body}))


def _serve_without_member(case: Case) -> bool:
    groups = case.ledger_now()['groups']
    return len(groups) == 2 and all(
        case.member not in group['members']
        and _serves_whole(case.fleet, group)
        and _runs_of(case.fleet, group['name'])
        for group in groups
    )


@then(
    parsers.parse(
        'a group without the member serves within {seconds:d} seconds',
    ),
)
def check_formed(case: Case, seconds: int) -> None:
    wait_until(
        lambda: _serve_without_member(case),
        'a new group',
        timeout_s=seconds + 20,
    )
    assert time.monotonic() - case.struck_s < seconds


@then(
    parsers.parse(
        'no request started on the old group later than {seconds:d} seconds '
        'after',
    ),
)
def check_no_late_run(case: Case, seconds: int) -> None:
    latest_s = case.struck_s + seconds
    runs = _runs_of(case.fleet, case.old_group['name'])
    assert runs
    assert max(run['started_s'] for run in runs) <= latest_s


@then('after its return the member serves only when ordered')
def check_return(case: Case) -> None:
    case.fleet.control(_address(case.fleet, case.member), {})
    old_name = case.old_group['name']
    wait_until(
        lambda: _health(case.fleet, case.member)['group'] != old_name,
        'the release of the old member',
    )
    check_no_late_run(case, 2)


@then('the ledger and the groups of living hosts are as before')
def check_unchanged(case: Case) -> None:
    assert _orders(case.fleet) == case.orders
    for group in case.ledger['groups'][1:]:
        assert _serves_whole(case.fleet, group)
    check_no_late_run(case, 2)
    _put(case.fleet, 'standin', {})
    case.struck_s = time.monotonic()


@then('only requests on the broken group failed')
def check_failures(case: Case) -> None:
    failed = {
        prompt_digest(outcome.call.prompt)
        for outcome in case.load.outcomes
        if not outcome.correct
    }
    cut = {
        run['digest']
        for run in _runs_of(case.fleet, case.old_group['name'])
        if run['outcome'] != 'completed'
    }
    assert failed <= cut


@then('no request was cut')
def check_nothing_cut(case: Case) -> None:
    case.load.end()
    wrong = [outcome for outcome in case.load.outcomes if not outcome.correct]
    assert not wrong
    assert {run['outcome'] for run in engine_runs(case.fleet)} <= {
        'completed',
        'running',
    }


@given(
    parsers.parse('three daemons and engines that {treat} old fencing numbers'),
    target_fixture='fleet',
)
def given_keepers(stack: contextlib.ExitStack, treat: str) -> LocalFleet:
    shape = FleetShape(
        daemons=3,
        hosts_per_domain=5,
        fencing=treat == 'refuse',
    )
    return stack.enter_context(local_fleet(shape))


@when(
    'the keeper is frozen until another daemon has formed a new group',
    target_fixture='former',
)
def freeze_keeper(fleet: LocalFleet) -> str:
    ledger = _read_ledger(fleet)
    former = ledger['lease']['holder']
    fleet.daemon(former).pause()
    victim = ledger['groups'][0]['members'][-1]
    fleet.control(_address(fleet, victim), {'dead': True})
    wait_until(
        lambda: _read_ledger(fleet)['next_number'] > ledger['next_number'],
        'a new group by another keeper',
        timeout_s=40,
    )
    assert _read_ledger(fleet)['lease']['holder'] != former
    return former


@when('the keeper is thawed')
def thaw_keeper(fleet: LocalFleet, former: str) -> None:
    time.sleep(1)
    fleet.daemon(former).resume()
    time.sleep(3)


@then('no order of the former keeper took effect')
def check_orders(fleet: LocalFleet) -> None:
    for host in fleet.plan.hosts:
        fences = [
            order['fence'] for order in fleet.control(host.address)['orders']
        ]
        assert fences == sorted(fences)
    groups = _read_ledger(fleet)['groups']
    assert all(_serves_whole(fleet, group) for group in groups)
