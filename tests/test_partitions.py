"""Steps of the feature on daemons that are cut off from each other."""

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
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._fleet_monitor import FleetMonitor, monitored
from cowslipstep_standins._order_load import OrderLoad, order_load
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('partitions.feature')

SIDES = (('d0', 'd1'), ('d2', 'd3'))
PLATFORM_LATER_S = 3
DOMAINS = ('port-louis', 'ebene')


@define
class Split:
    """A fleet in two halves, its loads and what was seen of it."""

    fleet: LocalFleet
    watch: FleetMonitor
    load: BackgroundLoad
    orders: OrderLoad
    group: str = ''
    struck_s: float = 0
    rules: list[Any] = field(factory=list)
    wanted: int = 0
    crossed: int = 0

    def apply_rules(self, rules: list[Any]) -> None:
        self.rules = rules
        self.fleet.control(self.fleet.plan.relay, rules)

    def passed(self) -> int:
        """Bytes that passed from the first side to the second."""
        passed = self.fleet.control(self.fleet.plan.relay)['passed']
        links = {'>'.join(pair) for pair in itertools.product(*SIDES)}
        return sum(passed[link] for link in links & passed.keys())

    def metric(self, daemon: str, name: str) -> float:
        return Balancer(self.fleet).metric(daemon, name)

    def submit(self, weight: int) -> int:
        """Write a configuration past all relays; return its version."""
        platform = self.fleet.plan.platform
        url = f'http://{platform}/objects/configuration/fleet'
        known = self.watch.http.request('GET', url).json()['version']
        document = fleet_configuration(self.fleet.plan)
        document['workspaces'][0]['weight'] = weight
        answer = self.watch.http.request(
            'PUT',
            f'{url}?version={known}',
            body=json.dumps({'body': json.dumps(document)}),
        )
        return answer.json()['version']


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
    'four daemons under load, two of them on each side', target_fixture='split'
)
def given_split(
    relayed_fleet: LocalFleet, stack: contextlib.ExitStack
) -> Split:
    fleet = relayed_fleet
    fleet.control(fleet.plan.relay, [])
    for host in fleet.plan.hosts:
        fleet.control(host.address, {})
    fleet.wait_until_serving()
    load = stack.enter_context(background_load(fleet))
    orders = stack.enter_context(order_load(fleet))
    watch = stack.enter_context(monitored(fleet))
    wait_until(lambda: len(load.outcomes) > 20, 'load')
    return Split(fleet, watch, load, orders)


@when(
    parsers.parse(
        'the sides are split by {kind} and the platform is reached by {reach}'
    )
)
def cut(split: Split, kind: str, reach: str) -> None:
    rule = 'severed' if kind == 'closed connections' else 'withheld'
    deaf = cut_off(reach)
    pairs = set(itertools.product(*SIDES))
    if kind != 'packets lost in one way':
        pairs |= set(itertools.product(*reversed(SIDES)))
    pairs |= set(itertools.product(deaf, ('platform',)))
    pairs |= set(itertools.product(('platform',), deaf))
    split.apply_rules([rule_of(pair, rule) for pair in pairs])
    split.crossed = split.passed()


def cut_off(reach: str) -> tuple[str, ...]:
    # The first side holds the leases before the split.
    match reach:
        case 'the first side':
            return SIDES[1]
        case 'the second side':
            return SIDES[0]
        case 'no side':
            return (*SIDES[0], *SIDES[1])
    return ()


def rule_of(pair: tuple[str, str], rule: str) -> Any:
    return {'source': pair[0], 'target': pair[1], 'rule': rule}


@when('a member dies and a configuration is submitted')
def strike(split: Split) -> None:
    group = split.watch.ledgers()[DOMAINS[0]]['groups'][0]
    split.group = group['name']
    addresses = {host.name: host.address for host in split.fleet.plan.hosts}
    victim = addresses[group['members'][-1]]
    split.struck_s = time.monotonic()
    split.fleet.control(victim, {'dead': True})
    split.wanted = split.submit(weight=len(split.load.outcomes))


@when(parsers.parse('{seconds:d} seconds pass'))
def wait(seconds: int) -> None:
    time.sleep(seconds)


@then('no byte of a daemon has crossed the split')
def check_crossed(split: Split) -> None:
    assert split.passed() == split.crossed


@then(
    parsers.parse(
        'no request started on the broken group later than {seconds:d} '
        'seconds after'
    )
)
def check_late(split: Split, seconds: int) -> None:
    runs = engine_runs(split.fleet)
    started = [run['started_s'] for run in runs if run['group'] == split.group]
    assert started
    assert max(started) <= split.struck_s + seconds


@when('the split heals, between daemons first')
def heal(split: Split) -> None:
    rules = [rule for rule in split.rules if 'platform' in rule.values()]
    split.apply_rules(rules)
    time.sleep(PLATFORM_LATER_S)
    split.apply_rules([])


def is_whole(split: Split) -> bool:
    names = [plan.name for plan in split.fleet.plan.daemons]
    live = {split.metric(name, 'control_live_daemons') for name in names}
    versions = {split.watch.version(name) for name in names}
    if live != {len(names)} or versions != {split.wanted}:
        return False
    figures = ('groups_wanted', 'groups_serving')
    counts = [
        [split.metric(name, figure) for name in names] for figure in figures
    ]
    return {sum(count) for count in counts} == {split.fleet.plan.groups}


@then(
    parsers.parse(
        'within {seconds:d} seconds all roles have one owner and the newest '
        'configuration is in force'
    )
)
def check_whole(split: Split, seconds: int) -> None:
    wait_until(lambda: is_whole(split), 'one owner for each role', seconds)


@then('no request started on a group that missed a member for longer')
def check_whole_groups(split: Split) -> None:
    late = [
        run
        for run in engine_runs(split.fleet)
        if run['missing_members'] and run['started_s'] > split.struck_s + 2
    ]
    assert not late


@then('no promise was broken on either side')
def check_promises(split: Split) -> None:
    split.load.end()
    split.orders.end()
    assert not split.watch.shared_hosts
    assert not split.watch.reverted
    outcomes = (*split.load.outcomes, *split.orders.outcomes)
    counted = count_outcomes(outcomes, split.fleet)
    assert counted.correct, counted
    assert counted.answered > counted.requests / 2


@then('each host obeyed keepers in the order of their terms')
def check_fences(split: Split) -> None:
    for host in split.fleet.plan.hosts:
        orders = split.fleet.control(host.address)['orders']
        fences = [order['fence'] for order in orders]
        assert fences == sorted(fences)
