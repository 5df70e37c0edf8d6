"""Steps of the feature on a fabric domain that goes dark as a whole."""

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
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._fleet_monitor import FleetMonitor, monitored
from cowslipstep_standins._plan import FleetShape, HostPlan
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('dark_domain.feature')

DOMAINS = ('port-louis', 'ebene', 'curepipe')
DARK = 'ebene'
CALLERS = 10
PARTS = 5


@define
class Case:
    """A fleet under load, and what was seen of it while a domain was dark."""

    fleet: LocalFleet
    watch: FleetMonitor
    load: BackgroundLoad
    load_stack: contextlib.ExitStack
    groups: list[Any] = field(factory=list)
    struck_s: float = 0
    dark_s: float = 0
    changes: int = 0
    other_orders: list[Any] = field(factory=list)

    @property
    def group_names(self) -> set[str]:
        """Groups of the dark domain before the fault."""
        return {group['name'] for group in self.groups}

    def ledger(self) -> Any:
        return self.watch.ledgers()[DARK]

    def hosts(self, *domains: str) -> list[HostPlan]:
        return [
            host
            for host in self.fleet.plan.hosts
            if host.failure_domain in domains
        ]

    def set_faults(self, faults: dict[str, Any]) -> None:
        hosts = self.hosts(DARK)
        names = [host.name for host in hosts]
        self.fleet.control(hosts[0].address, {'hosts': names, **faults})

    def ledger_changes(self) -> int:
        """Changes of the dark domain's ledger that the platform was sent."""
        counted = self.fleet.control(self.fleet.plan.platform)
        return counted['changes'][f'/objects/ledger/{DARK}']

    def records(self, *domains: str, kind: str) -> list[Any]:
        """Records of one kind, a list for each host of some domains."""
        return [
            self.fleet.control(host.address)[kind]
            for host in self.hosts(*domains)
        ]

    def part_of(self, at_s: float) -> int:
        """Number of the part of the dark time that a moment lies in."""
        return math.floor((at_s - self.struck_s) / self.dark_s * PARTS)


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given(
    parsers.parse(
        'three domains of two groups each, under load through daemons: '
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
    wait_until(lambda: is_whole(case), 'two groups that serve')
    case.groups = case.ledger()['groups']
    wait_until(lambda: has_served(case, 0), 'load on all groups')
    return case


def start_case(fleet: LocalFleet, stack: contextlib.ExitStack) -> Case:
    watch = stack.enter_context(monitored(fleet))
    load_stack = stack.enter_context(contextlib.ExitStack())
    load = load_stack.enter_context(background_load(fleet, CALLERS))
    return Case(fleet, watch, load, load_stack)


def is_whole(case: Case) -> bool:
    """Whether the dark domain's groups stand and its hosts agree."""
    wanted = {
        member: group['name']
        for group in case.ledger()['groups']
        for member in group['members']
    }
    healths = [
        case.watch.http.request(
            'GET', f'http://{host.address}/health', timeout=5
        ).json()
        for host in case.hosts(DARK)
    ]
    said = {
        health['host']: health['group'] for health in healths if health['group']
    }
    return len(wanted) == 8 and said == wanted


def dark_runs(case: Case) -> list[Any]:
    """Runs on the groups that the dark domain had before the fault."""
    names = case.group_names
    return [run for run in engine_runs(case.fleet) if run['group'] in names]


def has_served(case: Case, since_s: float) -> bool:
    served = {
        run['group']
        for run in dark_runs(case)
        if run['started_s'] > since_s and run['outcome'] == 'completed'
    }
    return served == case.group_names


@when(
    parsers.parse(
        'all hosts of one domain are {fault} for {seconds:d} seconds',
    ),
)
def darken(case: Case, fault: str, seconds: int) -> None:
    others = set(DOMAINS) - {DARK}
    case.other_orders = case.records(*others, kind='orders')
    case.changes = case.ledger_changes()
    case.struck_s = time.monotonic()
    case.set_faults({fault: True})
    time.sleep(seconds)
    case.changes = case.ledger_changes() - case.changes
    case.dark_s = time.monotonic() - case.struck_s


@then(
    parsers.parse(
        'no request started on its groups later than {seconds:d} seconds after',
    ),
)
def check_late(case: Case, seconds: int) -> None:
    started = [run['started_s'] for run in dark_runs(case)]
    assert max(started) <= case.struck_s + seconds


@then('each other domain started requests in each fifth of that time')
def check_others(case: Case) -> None:
    for domain in set(DOMAINS) - {DARK}:
        lists = case.records(domain, kind='runs')
        runs = itertools.chain.from_iterable(lists)
        parts = {case.part_of(run['started_s']) for run in runs}
        assert parts >= set(range(PARTS))


@then(
    parsers.parse(
        'its ledger had no change but renewals, one in {period_s:d} seconds',
    ),
)
def check_ledger(case: Case, period_s: int) -> None:
    assert case.ledger()['groups'] == case.groups
    assert case.changes <= case.dark_s / period_s + 1


@then('no engine of the other domains got an order')
def check_orders(case: Case) -> None:
    others = set(DOMAINS) - {DARK}
    assert case.records(*others, kind='orders') == case.other_orders


@then(
    parsers.parse(
        'each dark host was probed at most {most:d} times in {seconds:d} '
        'seconds',
    ),
)
def check_probes(case: Case, most: int, seconds: int) -> None:
    for calls in case.records(DARK, kind='unanswered'):
        probes = [
            call
            for call in calls
            if call['path'] == '/health'
            and call['at_s'] <= case.struck_s + seconds
        ]
        assert 0 < len(probes) <= most


@when('its hosts come back')
def come_back(case: Case) -> None:
    case.set_faults({})


@then('its groups serve again as they were')
def check_return(case: Case) -> None:
    returned_s = time.monotonic()
    wait_until(lambda: has_served(case, returned_s), 'its groups', 60)
    assert is_whole(case)
    assert case.ledger()['groups'] == case.groups


@then('no host was in two groups')
def check_shared(case: Case) -> None:
    assert not case.watch.shared_hosts


@then(
    parsers.parse(
        'requests sent later than {seconds:d} seconds after the fault were '
        'all answered',
    ),
)
def check_answered(case: Case, seconds: int) -> None:
    case.load_stack.close()
    later = [
        outcome
        for outcome in case.load.outcomes
        if outcome.started_s > case.struck_s + seconds
    ]
    assert later
    assert all(outcome.correct for outcome in later)


@then('no answer was wrong, doubled or falsely told not run')
def check_tally(case: Case) -> None:
    counted = count_outcomes(case.load.outcomes, case.fleet)
    assert counted.correct, counted
