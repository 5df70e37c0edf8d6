"""Steps of the feature on groups, their members and their controller."""

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
    """A fleet under load and the group whose member fails or leaves.

    Attributes
    ----------
    old_group
        Entry of the group in the ledger, before the fault.
    fault_s
        Time of the fault, or of the end of an outage (monotonic).
    ledger
        Ledger before an outage of the platform.
    commands
        Commands that each host had applied before that outage.
    """

    fleet: LocalFleet
    load: BackgroundLoad
    old_group: dict[str, Any] = field(factory=dict)
    fault_s: float = 0
    ledger: Any = None
    commands: Any = None

    @property
    def member(self) -> str:
        """The member that fails or leaves; it is not the leader."""
        return self.old_group['members'][-1]

    def read_ledger(self) -> Any:
        return _read_ledger(self.fleet)

    def set_member_faults(self, faults: dict[str, Any]) -> None:
        self.old_group = self.read_ledger()['groups'][0]
        self.fault_s = time.monotonic()
        self.fleet.control(_address(self.fleet, self.member), faults)


def _read_ledger(fleet: LocalFleet) -> Any:
    platform = fleet.plan.platform
    response = _HTTP.request('GET', f'http://{platform}/{_LEDGER}')
    return json.loads(response.json()['body'])


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


def _is_complete(fleet: LocalFleet, group: dict[str, Any]) -> bool:
    healths = [_health(fleet, member) for member in group['members']]
    return all(
        (health['group'], health['state']) == (group['name'], 'ready')
        for health in healths
    )


def _commands(fleet: LocalFleet) -> list[Any]:
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
    wait_until(lambda: len(load.outcomes) > 20, 'requests run')
    return Case(fleet, load)


@when(parsers.re('a member other than the leader is (?P<fault>dead|frozen)'))
def fail_member(case: Case, fault: str) -> None:
    case.set_member_faults({fault: True})


@when(
    parsers.parse(
        'the platform is down for {seconds:d} seconds and a member dies '
        'meanwhile',
    ),
)
def outage(case: Case, seconds: int) -> None:
    case.ledger = case.read_ledger()
    case.commands = _commands(case.fleet)
    _put(case.fleet, 'standin', {'outage': True})
    time.sleep(seconds / 2)
    case.old_group = case.ledger['groups'][0]
    case.fault_s = time.monotonic()
    case.fleet.control(_address(case.fleet, case.member), {'dead': True})
    time.sleep(seconds / 2)
    case.fleet.control(_address(case.fleet, case.member), {'dead': True})


@when(parsers.parse('a member leaves because of {cause}'))
def leave(case: Case, cause: str) -> None:
    match cause:
        case 'its low speed':
            case.set_member_faults({'slow_factor': 10})
        case 'its own report':
            case.set_member_faults({'leaving': True})
        case "the platform's list":
            case.set_member_faults({})
            _put(case.fleet, 'hosts', {'live': [], 'leaving': [case.member]})
        case "an operator's drain":
            case.set_member_faults({})
            _drain(case)


def _drain(case: Case) -> None:
    body = json.dumps({'target': case.member, 'kind': 'host'})
    platform = case.fleet.plan.platform
    url = f'http://{platform}/objects/drain/{case.member}'
    _HTTP.request('POST', url, body=json.dumps({'body': body}))


def _serve_without_member(case: Case) -> bool:
    groups = case.read_ledger()['groups']
    return len(groups) == 2 and all(
        case.member not in group['members']
        and _is_complete(case.fleet, group)
        and _runs_of(case.fleet, group['name'])
        for group in groups
    )


@then(
    parsers.parse(
        'a group without the member serves within {seconds:d} seconds',
    ),
)
def check_new_group(case: Case, seconds: int) -> None:
    wait_until(
        lambda: _serve_without_member(case),
        'a new group without the member',
        timeout_s=seconds + 20,
    )
    assert time.monotonic() - case.fault_s < seconds


@then(
    parsers.parse(
        'no request started on the old group later than {seconds:d} seconds '
        'after that',
    ),
)
def check_no_late_run(case: Case, seconds: int) -> None:
    latest_s = case.fault_s + seconds
    runs = _runs_of(case.fleet, case.old_group['name'])
    assert runs
    assert max(run['started_s'] for run in runs) <= latest_s


@then('after its return the member serves only on command')
def check_return(case: Case) -> None:
    case.fleet.control(_address(case.fleet, case.member), {})
    old_name = case.old_group['name']
    wait_until(
        lambda: _health(case.fleet, case.member)['group'] != old_name,
        'the returned member leaves the old group',
    )
    check_no_late_run(case, 2)


@then('no host applied a command and the groups of live hosts are intact')
def check_intact(case: Case) -> None:
    assert _commands(case.fleet) == case.commands
    for group in case.ledger['groups'][1:]:
        assert _is_complete(case.fleet, group)
    check_no_late_run(case, 2)
    _put(case.fleet, 'standin', {})
    case.fault_s = time.monotonic()


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


@then('no request was interrupted')
def check_no_interruption(case: Case) -> None:
    case.load.end()
    wrong = [outcome for outcome in case.load.outcomes if not outcome.correct]
    assert not wrong
    assert {run['outcome'] for run in engine_runs(case.fleet)} <= {
        'completed',
        'running',
    }


@given(
    parsers.parse('three daemons and engines that {treat} old fencing tokens'),
    target_fixture='fleet',
)
def given_controllers(stack: contextlib.ExitStack, treat: str) -> LocalFleet:
    shape = FleetShape(
        daemons=3,
        hosts_per_domain=5,
        fencing=treat == 'refuse',
    )
    return stack.enter_context(local_fleet(shape))


@when(
    'the controller is paused until another daemon has formed a new group',
    target_fixture='former',
)
def pause_controller(fleet: LocalFleet) -> str:
    ledger = _read_ledger(fleet)
    former = ledger['lease']['holder']
    fleet.daemon(former).pause()
    victim = ledger['groups'][0]['members'][-1]
    fleet.control(_address(fleet, victim), {'dead': True})
    wait_until(
        lambda: _read_ledger(fleet)['next_number'] > ledger['next_number'],
        'a new group of another controller',
        timeout_s=40,
    )
    assert _read_ledger(fleet)['lease']['holder'] != former
    return former


@when('the former controller resumes')
def resume_controller(fleet: LocalFleet, former: str) -> None:
    time.sleep(1)
    fleet.daemon(former).resume()
    time.sleep(3)


@then('no command of the former controller took effect')
def check_commands(fleet: LocalFleet) -> None:
    for host in fleet.plan.hosts:
        fences = [
            command['fence']
            for command in fleet.control(host.address)['orders']
        ]
        assert fences == sorted(fences)
    groups = _read_ledger(fleet)['groups']
    assert all(_is_complete(fleet, group) for group in groups)
