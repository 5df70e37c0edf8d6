"""Steps of the feature on the configuration in force."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep_standins._documents import fleet_configuration
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until

scenarios('configuration.feature')

DOMAINS = ('port-louis', 'ebene', 'curepipe')
CUT_OFF = ('d0', 'd4', 'd8')
FRESH = 'd3'
PEERS_SLOW_S = 1


@define
class Observer:
    """Reads versions from all daemons and remembers each of them."""

    fleet: LocalFleet
    weight: int = 1
    wanted: int = 0
    submitted_at_s: float = 0
    seen: dict[str, list[int]] = field(factory=dict)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False),
    )

    def readiness(self, name: str) -> Any:
        """What one daemon says, or nothing if it does not answer."""
        address = self.fleet.plan.daemon(name).http
        try:
            answer = self.http.request(
                'GET', f'http://{address}/readyz', timeout=2
            )
        except urllib3.exceptions.HTTPError:
            return None
        said = answer.json()
        if said['ready']:
            self.seen.setdefault(name, []).append(said['version'])
        return said

    def is_in_force(self) -> bool:
        """Whether all daemons are ready with the wanted version."""
        said = [self.readiness(plan.name) for plan in self.fleet.plan.daemons]
        return all(
            one and one['ready'] and one['version'] == self.wanted
            for one in said
        )

    def write(self, document: str) -> int:
        """Write a configuration past the tool and return its version."""
        platform = self.fleet.plan.platform
        url = f'http://{platform}/objects/configuration/fleet'
        known = self.http.request('GET', url).json()['version']
        answer = self.http.request(
            'PUT',
            f'{url}?version={known}',
            body=json.dumps({'body': document}),
        )
        return answer.json()['version']

    def submit(self) -> None:
        """Submit a configuration that differs from the last one."""
        self.weight += 1
        document = fleet_configuration(self.fleet.plan)
        document['workspaces'][0]['weight'] = self.weight
        self.wanted = self.write(json.dumps(document))
        self.submitted_at_s = time.monotonic()


@pytest.fixture(scope='module')
def observed() -> Iterator[Observer]:
    """Nine daemons in three failure domains."""
    shape = FleetShape(daemons=9, failure_domains=DOMAINS)
    with local_fleet(shape) as fleet:
        yield Observer(fleet)


def set_faults(fleet: LocalFleet, **faults: Any) -> None:
    fleet.control(fleet.plan.platform, faults)


def restart(observer: Observer) -> None:
    observer.seen.pop(FRESH, None)
    observer.fleet.daemon(FRESH).kill()
    observer.fleet.start_daemon(FRESH)


@given('a fleet of 9 daemons', target_fixture='observer')
def given_fleet(observed: Observer) -> Observer:
    set_faults(observed.fleet)
    observed.submit()
    wait_until(observed.is_in_force, 'all daemons in force')
    return observed


@when('a configuration is submitted')
def submit(observer: Observer) -> None:
    observer.submit()


@when('a third of the daemons is cut off from the platform')
def cut_off(observer: Observer) -> None:
    set_faults(observer.fleet, cut_off=CUT_OFF)


@then(
    parsers.parse(
        'it is in force on all daemons within {seconds:d} seconds',
    ),
)
def check_in_force(observer: Observer, seconds: int) -> None:
    wait_until(observer.is_in_force, 'in force', timeout_s=30)
    assert time.monotonic() - observer.submitted_at_s < seconds


@then('no daemon went back to an older version')
def check_no_revert(observer: Observer) -> None:
    assert len(observer.seen) == len(observer.fleet.plan.daemons)
    for versions in observer.seen.values():
        assert versions == sorted(versions)


@when('a broken document is written to the platform')
def write_broken(observer: Observer) -> None:
    observer.write('{"ranks": []}')


@then('all daemons stay ready with the configuration they have')
def check_kept(observer: Observer) -> None:
    end_s = time.monotonic() + 3
    while time.monotonic() < end_s:
        assert observer.is_in_force()


@when('the platform is down and a daemon is killed and started anew')
def restart_in_outage(observer: Observer) -> None:
    set_faults(observer.fleet, outage=True)
    restart(observer)


@when(
    'the platform answers with old versions, peers are slow and a daemon is '
    'started anew',
)
def restart_with_stale(observer: Observer) -> None:
    set_faults(observer.fleet, stale_kind='configuration')
    peers = [
        observer.fleet.daemon(plan.name)
        for plan in observer.fleet.plan.daemons
        if plan.name != FRESH
    ]
    for peer in peers:
        peer.pause()
    restart(observer)
    wait_until(lambda: observer.readiness(FRESH) is not None, 'an answer')
    end_s = time.monotonic() + PEERS_SLOW_S
    while time.monotonic() < end_s:
        observer.readiness(FRESH)
    for peer in peers:
        peer.resume()


def is_ready(observer: Observer) -> bool:
    said = observer.readiness(FRESH)
    return bool(said and said['ready'])


@then('it is ready only with the newest configuration')
def check_fresh(observer: Observer) -> None:
    wait_until(lambda: is_ready(observer), 'the fresh daemon')
    assert min(observer.seen[FRESH]) >= observer.wanted
