"""Steps of the feature on the failure of all hosts of a fabric domain."""

from __future__ import annotations

import contextlib
import itertools
import math
import time
from collections.abc import Iterator
from typing import Any

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep_standins._background_load import (
    BackgroundLoad,
    background_load,
)
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._fleet_monitor import FleetMonitor, monitored
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._plan import FleetShape, HostPlan
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('domain_outage.feature')

DOMAINS = ('port-louis', 'ebene', 'curepipe')
FAILED_DOMAIN = 'ebene'
CALLERS = 10
OUTAGE_PARTS = 5


@define
class Case:
    """A fleet under load, and what was measured during the outage.

    Attributes
    ----------
    groups
        Groups of the failed domain before the fault.
    ledger_change_count
        Changes of its ledger during the outage.
    other_commands
        Commands that hosts of the other domains had applied before.
    """

    fleet: LocalFleet
    monitor: FleetMonitor
    load: BackgroundLoad
    load_stack: contextlib.ExitStack
    groups: list[Any] = field(factory=list)
    fault_s: float = 0
    outage_s: float = 0
    ledger_change_count: int = 0
    other_commands: list[Any] = field(factory=list)

    @property
    def group_names(self) -> set[str]:
        """Names of the groups of the failed domain before the fault."""
        return {group['name'] for group in self.groups}

    def ledger(self) -> Any:
        return self.monitor.ledgers()[FAILED_DOMAIN]

    def hosts(self, *domains: str) -> list[HostPlan]:
        return [
            host
            for host in self.fleet.plan.hosts
            if host.failure_domain in domains
        ]

    def set_faults(self, faults: dict[str, Any]) -> None:
        hosts = self.hosts(FAILED_DOMAIN)
        names = [host.name for host in hosts]
        self.fleet.control(hosts[0].address, {'hosts': names, **faults})

    def count_ledger_changes(self) -> int:
        """Return how often the platform received a change of the ledger."""
        counts = self.fleet.control(self.fleet.plan.platform)
        return counts['changes'][f'/objects/ledger/{FAILED_DOMAIN}']

    def records(self, *domains: str, kind: str) -> list[Any]:
        """Return the records of one kind of each host of some domains."""
        return [
            self.fleet.control(host.address)[kind]
            for host in self.hosts(*domains)
        ]

    def outage_part(self, at_s: float) -> int:
        """Return the number of the part of the outage that a time is in."""
        return math.floor((at_s - self.fault_s) / self.outage_s * OUTAGE_PARTS)


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given(
    parsers.parse(
        'three domains of two groups each, under load; number of daemons: '
        '{daemons:d}',
    ),
    target_fixture='case',
)
def given_case(stack: contextlib.ExitStack, daemons: int) -> Case:
    shape = FleetShape(
        daemons=daemons,
        failure_domains=DOMAINS,
        hosts_per_domain=9,
        hosts_per_group=4,
        slots=2,
        token_s=0.005,
    )
    fleet = stack.enter_context(local_fleet(shape))
    case = start_case(fleet, stack)
    wait_until(
        lambda: is_consistent(case),
        'the hosts of the domain agree with its ledger',
    )
    case.groups = case.ledger()['groups']
    wait_until(lambda: has_served(case, 0), 'requests run on all groups')
    return case


def start_case(fleet: LocalFleet, stack: contextlib.ExitStack) -> Case:
    monitor = stack.enter_context(monitored(fleet))
    load_stack = stack.enter_context(contextlib.ExitStack())
    load = load_stack.enter_context(background_load(fleet, CALLERS))
    return Case(fleet, monitor, load, load_stack)


def is_consistent(case: Case) -> bool:
    """Whether the hosts of the domain report the two groups of its ledger."""
    expected = {
        member: group['name']
        for group in case.ledger()['groups']
        for member in group['members']
    }
    healths = [
        case.monitor.http.request(
            'GET', f'http://{host.address}/health', timeout=5
        ).json()
        for host in case.hosts(FAILED_DOMAIN)
    ]
    reported = {
        health['host']: health['group'] for health in healths if health['group']
    }
    return len(expected) == 8 and reported == expected


def runs_of_failed_domain(case: Case) -> list[Any]:
    """Return the runs on the groups that the domain had before the fault."""
    names = case.group_names
    return [run for run in engine_runs(case.fleet) if run['group'] in names]


def has_served(case: Case, since_s: float) -> bool:
    served = {
        run['group']
        for run in runs_of_failed_domain(case)
        if run['started_s'] > since_s and run['outcome'] == 'completed'
    }
    return served == case.group_names


@when(
    parsers.parse(
        'all hosts of one domain are {fault} for {seconds:d} seconds',
    ),
)
def fail_domain(case: Case, fault: str, seconds: int) -> None:
    others = set(DOMAINS) - {FAILED_DOMAIN}
    case.other_commands = case.records(*others, kind='orders')
    case.ledger_change_count = case.count_ledger_changes()
    case.fault_s = time.monotonic()
    case.set_faults({fault: True})
    time.sleep(seconds)
    case.ledger_change_count = (
        case.count_ledger_changes() - case.ledger_change_count
    )
    case.outage_s = time.monotonic() - case.fault_s


@then(
    parsers.parse(
        'no request started on its groups later than {seconds:d} seconds after '
        'the fault',
    ),
)
def check_late(case: Case, seconds: int) -> None:
    started = [run['started_s'] for run in runs_of_failed_domain(case)]
    assert max(started) <= case.fault_s + seconds


@then('each other domain started requests in each fifth of the outage')
def check_others(case: Case) -> None:
    for domain in set(DOMAINS) - {FAILED_DOMAIN}:
        lists = case.records(domain, kind='runs')
        runs = itertools.chain.from_iterable(lists)
        parts = {case.outage_part(run['started_s']) for run in runs}
        assert parts >= set(range(OUTAGE_PARTS))


@then(
    parsers.parse(
        'its ledger changed only by renewals, one in {period_s:d} seconds',
    ),
)
def check_ledger(case: Case, period_s: int) -> None:
    assert case.ledger()['groups'] == case.groups
    assert case.ledger_change_count <= case.outage_s / period_s + 1


@then('no engine of the other domains received a command')
def check_commands(case: Case) -> None:
    others = set(DOMAINS) - {FAILED_DOMAIN}
    assert case.records(*others, kind='orders') == case.other_commands


@then(
    parsers.parse(
        'each host of the domain was probed at most {limit:d} times in '
        '{seconds:d} seconds',
    ),
)
def check_probes(case: Case, limit: int, seconds: int) -> None:
    for calls in case.records(FAILED_DOMAIN, kind='unanswered'):
        probes = [
            call
            for call in calls
            if call['path'] == '/health'
            and call['at_s'] <= case.fault_s + seconds
        ]
        assert 0 < len(probes) <= limit


@when('its hosts come back')
def come_back(case: Case) -> None:
    case.set_faults({})


@then('its groups serve again with the same members')
def check_groups_return(case: Case) -> None:
    returned_s = time.monotonic()
    wait_until(
        lambda: has_served(case, returned_s), 'its groups serve again', 60
    )
    assert is_consistent(case)
    assert case.ledger()['groups'] == case.groups


@then('no host was in two groups')
def check_shared(case: Case) -> None:
    assert not case.monitor.shared_hosts


@then(
    parsers.parse(
        'all requests sent later than {seconds:d} seconds after the fault '
        'completed',
    ),
)
def check_completed(case: Case, seconds: int) -> None:
    case.load_stack.close()
    later = [
        outcome
        for outcome in case.load.outcomes
        if outcome.started_s > case.fault_s + seconds
    ]
    assert later
    assert all(outcome.correct for outcome in later)


@then('no response was wrong, doubled or a false "not_run"')
def check_guarantees(case: Case) -> None:
    counts = count_outcomes(case.load.outcomes, case.fleet)
    assert counts.correct, counts
