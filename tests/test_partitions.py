"""Steps of the feature on partitions between daemons."""

from __future__ import annotations

import contextlib
import itertools
import json
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
from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._fleet_monitor import FleetMonitor, monitored
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._order_load import OrderLoad, order_load
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('partitions.feature')

SIDES = (('d0', 'd1'), ('d2', 'd3'))
PLATFORM_HEAL_DELAY_S = 3
DOMAINS = ('port-louis', 'ebene')


@define
class PartitionedFleet:
    """A fleet whose daemons are on two sides, its loads and its monitor.

    Attributes
    ----------
    group
        Name of the group whose member dies.
    fault_s
        Time at which the member dies (monotonic).
    rules
        Rules of the relays.
    submitted_version
        Version of the submitted configuration.
    bytes_before
        Bytes that had passed between the sides before the partition.
    """

    fleet: LocalFleet
    monitor: FleetMonitor
    load: BackgroundLoad
    orders: OrderLoad
    group: str = ''
    fault_s: float = 0
    rules: list[Any] = field(factory=list)
    submitted_version: int = 0
    bytes_before: int = 0

    def apply_rules(self, rules: list[Any]) -> None:
        self.rules = rules
        self.fleet.control(self.fleet.plan.relay, rules)

    def count_passed_bytes(self) -> int:
        """Return the number of bytes from the first side to the second."""
        bytes_by_link = self.fleet.control(self.fleet.plan.relay)['passed']
        links = {'>'.join(pair) for pair in itertools.product(*SIDES)}
        return sum(bytes_by_link[link] for link in links & bytes_by_link.keys())

    def metric(self, daemon: str, name: str) -> float:
        return Balancer(self.fleet).metric(daemon, name)

    def submit(self, weight: int) -> int:
        """Write a configuration without a relay and return its version."""
        platform = self.fleet.plan.platform
        url = f'http://{platform}/objects/configuration/fleet'
        known_version = self.monitor.http.request('GET', url).json()['version']
        document = fleet_configuration(self.fleet.plan)
        document['workspaces'][0]['weight'] = weight
        response = self.monitor.http.request(
            'PUT',
            f'{url}?version={known_version}',
            body=json.dumps({'body': json.dumps(document)}),
        )
        return response.json()['version']


@pytest.fixture(scope='module')
def relayed_fleet() -> Iterator[LocalFleet]:
    shape = FleetShape(
        daemons=4,
        failure_domains=DOMAINS,
        hosts_per_domain=7,
        hosts_per_group=3,
        services=1,
        token_s=0.005,
        fencing=False,
        relayed=True,
    )
    with local_fleet(shape) as fleet:
        yield fleet


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as entered:
        yield entered


@given(
    'four daemons under load, two of them on each side',
    target_fixture='partitioned',
)
def given_partitionable_fleet(
    relayed_fleet: LocalFleet, stack: contextlib.ExitStack
) -> PartitionedFleet:
    fleet = relayed_fleet
    fleet.control(fleet.plan.relay, [])
    for host in fleet.plan.hosts:
        fleet.control(host.address, {})
    fleet.wait_until_serving()
    load = stack.enter_context(background_load(fleet))
    orders = stack.enter_context(order_load(fleet))
    monitor = stack.enter_context(monitored(fleet))
    wait_until(lambda: len(load.outcomes) > 20, 'requests run')
    return PartitionedFleet(fleet, monitor, load, orders)


@when(
    parsers.parse(
        'the sides are partitioned by {cause} and the platform is reached by '
        '{reach}'
    )
)
def partition(partitioned: PartitionedFleet, cause: str, reach: str) -> None:
    rule = 'severed' if cause == 'closed connections' else 'withheld'
    isolated = cut_off_daemons(reach)
    pairs = set(itertools.product(*SIDES))
    if cause != 'packets lost in one way':
        pairs |= set(itertools.product(*reversed(SIDES)))
    pairs |= set(itertools.product(isolated, ('platform',)))
    pairs |= set(itertools.product(('platform',), isolated))
    partitioned.apply_rules([link_rule(pair, rule) for pair in pairs])
    partitioned.bytes_before = partitioned.count_passed_bytes()


def cut_off_daemons(reach: str) -> tuple[str, ...]:
    # The daemons of the first side hold the leases before the partition.
    match reach:
        case 'the first side':
            return SIDES[1]
        case 'the second side':
            return SIDES[0]
        case 'no side':
            return (*SIDES[0], *SIDES[1])
    return ()


def link_rule(pair: tuple[str, str], rule: str) -> Any:
    return {'source': pair[0], 'target': pair[1], 'rule': rule}


@when('a member dies and a configuration is submitted')
def kill_member(partitioned: PartitionedFleet) -> None:
    group = partitioned.monitor.ledgers()[DOMAINS[0]]['groups'][0]
    partitioned.group = group['name']
    addresses = {
        host.name: host.address for host in partitioned.fleet.plan.hosts
    }
    victim = addresses[group['members'][-1]]
    partitioned.fault_s = time.monotonic()
    partitioned.fleet.control(victim, {'dead': True})
    partitioned.submitted_version = partitioned.submit(
        weight=len(partitioned.load.outcomes)
    )


@when(parsers.parse('{seconds:d} seconds pass'))
def wait(seconds: int) -> None:
    time.sleep(seconds)


@then('no byte passed from the first side to the second')
def check_no_bytes_passed(partitioned: PartitionedFleet) -> None:
    assert partitioned.count_passed_bytes() == partitioned.bytes_before


@then(
    parsers.parse(
        'no request started on the broken group later than {seconds:d} '
        'seconds after the fault'
    )
)
def check_late(partitioned: PartitionedFleet, seconds: int) -> None:
    runs = engine_runs(partitioned.fleet)
    started = [
        run['started_s'] for run in runs if run['group'] == partitioned.group
    ]
    assert started
    assert max(started) <= partitioned.fault_s + seconds


@when('the partition heals, between daemons first')
def heal(partitioned: PartitionedFleet) -> None:
    rules = [rule for rule in partitioned.rules if 'platform' in rule.values()]
    partitioned.apply_rules(rules)
    time.sleep(PLATFORM_HEAL_DELAY_S)
    partitioned.apply_rules([])


def is_recovered(partitioned: PartitionedFleet) -> bool:
    names = [plan.name for plan in partitioned.fleet.plan.daemons]
    live = {partitioned.metric(name, 'control_live_daemons') for name in names}
    versions = {partitioned.monitor.version(name) for name in names}
    if live != {len(names)} or versions != {partitioned.submitted_version}:
        return False
    metrics = ('groups_wanted', 'groups_serving')
    counts = [
        [partitioned.metric(name, metric) for name in names]
        for metric in metrics
    ]
    return {sum(count) for count in counts} == {partitioned.fleet.plan.groups}


@then(
    parsers.parse(
        'within {seconds:d} seconds all roles have one owner and the newest '
        'configuration is in force'
    )
)
def check_recovered(partitioned: PartitionedFleet, seconds: int) -> None:
    wait_until(
        lambda: is_recovered(partitioned), 'each role has one owner', seconds
    )


@then(
    'no group started a request with a member missing for more than 2 seconds'
)
def check_complete_groups(partitioned: PartitionedFleet) -> None:
    late = [
        run
        for run in engine_runs(partitioned.fleet)
        if run['missing_members'] and run['started_s'] > partitioned.fault_s + 2
    ]
    assert not late


@then('no guarantee was violated on either side')
def check_guarantees(partitioned: PartitionedFleet) -> None:
    partitioned.load.end()
    partitioned.orders.end()
    assert not partitioned.monitor.shared_hosts
    assert not partitioned.monitor.reverted
    outcomes = (*partitioned.load.outcomes, *partitioned.orders.outcomes)
    counts = count_outcomes(outcomes, partitioned.fleet)
    assert counts.correct, counts
    assert counts.answered > counts.requests / 2


@then('each host applied commands in the order of their fencing tokens')
def check_fences(partitioned: PartitionedFleet) -> None:
    for host in partitioned.fleet.plan.hosts:
        commands = partitioned.fleet.control(host.address)['orders']
        fences = [command['fence'] for command in commands]
        assert fences == sorted(fences)
