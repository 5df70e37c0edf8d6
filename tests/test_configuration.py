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
CUT_OFF_DAEMONS = ('d0', 'd4', 'd8')
RESTARTED_DAEMON = 'd3'
PEERS_PAUSE_S = 1


@define
class VersionObserver:
    """Reads the versions of all daemons and records them.

    Attributes
    ----------
    weight
        Weight in the last submitted configuration.
    submitted_version
        Version of the last submitted configuration.
    ready_versions
        Versions of each daemon while it was ready, in order.
    """

    fleet: LocalFleet
    weight: int = 1
    submitted_version: int = 0
    submitted_at_s: float = 0
    ready_versions: dict[str, list[int]] = field(factory=dict)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False),
    )

    def readiness(self, name: str) -> Any:
        """Return the readiness of one daemon; ``None`` without a response."""
        address = self.fleet.plan.daemon(name).http
        try:
            response = self.http.request(
                'GET', f'http://{address}/readyz', timeout=2
            )
        except urllib3.exceptions.HTTPError:
            return None
        readiness = response.json()
        if readiness['ready']:
            self.ready_versions.setdefault(name, []).append(
                readiness['version']
            )
        return readiness

    def is_in_force(self) -> bool:
        """Whether all daemons are ready with the submitted version."""
        readiness = [
            self.readiness(plan.name) for plan in self.fleet.plan.daemons
        ]
        return all(
            state
            and state['ready']
            and state['version'] == self.submitted_version
            for state in readiness
        )

    def write(self, document: str) -> int:
        """Write a document to the platform directly and return its version."""
        platform = self.fleet.plan.platform
        url = f'http://{platform}/objects/configuration/fleet'
        known_version = self.http.request('GET', url).json()['version']
        response = self.http.request(
            'PUT',
            f'{url}?version={known_version}',
            body=json.dumps({'body': document}),
        )
        return response.json()['version']

    def submit(self) -> None:
        """Submit a configuration that differs from the last one."""
        self.weight += 1
        document = fleet_configuration(self.fleet.plan)
        document['workspaces'][0]['weight'] = self.weight
        self.submitted_version = self.write(json.dumps(document))
        self.submitted_at_s = time.monotonic()


@pytest.fixture(scope='module')
def observed() -> Iterator[VersionObserver]:
    """Nine daemons in three failure domains."""
    shape = FleetShape(daemons=9, failure_domains=DOMAINS)
    with local_fleet(shape) as fleet:
        yield VersionObserver(fleet)


def set_faults(fleet: LocalFleet, **faults: Any) -> None:
    fleet.control(fleet.plan.platform, faults)


def restart(observer: VersionObserver) -> None:
    observer.ready_versions.pop(RESTARTED_DAEMON, None)
    observer.fleet.daemon(RESTARTED_DAEMON).kill()
    observer.fleet.start_daemon(RESTARTED_DAEMON)


@given('a fleet of 9 daemons', target_fixture='observer')
def given_fleet(observed: VersionObserver) -> VersionObserver:
    set_faults(observed.fleet)
    observed.submit()
    wait_until(
        observed.is_in_force, 'the configuration is in force on all daemons'
    )
    return observed


@when('a configuration is submitted')
def submit(observer: VersionObserver) -> None:
    observer.submit()


@when('a third of the daemons is cut off from the platform')
def cut_off(observer: VersionObserver) -> None:
    set_faults(observer.fleet, cut_off=CUT_OFF_DAEMONS)


@then(
    parsers.parse(
        'it is in force on all daemons within {seconds:d} seconds',
    ),
)
def check_in_force(observer: VersionObserver, seconds: int) -> None:
    wait_until(observer.is_in_force, 'in force on all daemons', timeout_s=30)
    assert time.monotonic() - observer.submitted_at_s < seconds


@then('no daemon reverted to an older version')
def check_no_revert(observer: VersionObserver) -> None:
    assert len(observer.ready_versions) == len(observer.fleet.plan.daemons)
    for versions in observer.ready_versions.values():
        assert versions == sorted(versions)


@when('an invalid document is written to the platform')
def write_invalid(observer: VersionObserver) -> None:
    observer.write('{"ranks": []}')


@then('all daemons stay ready with their current configuration')
def check_unchanged(observer: VersionObserver) -> None:
    end_s = time.monotonic() + 3
    while time.monotonic() < end_s:
        assert observer.is_in_force()


@when('the platform is down and a daemon is killed and restarted')
def restart_in_outage(observer: VersionObserver) -> None:
    set_faults(observer.fleet, outage=True)
    restart(observer)


@when(
    'the platform returns old versions, peers are paused and a daemon is '
    'restarted',
)
def restart_with_stale_platform(observer: VersionObserver) -> None:
    set_faults(observer.fleet, stale_kind='configuration')
    peers = [
        observer.fleet.daemon(plan.name)
        for plan in observer.fleet.plan.daemons
        if plan.name != RESTARTED_DAEMON
    ]
    for peer in peers:
        peer.pause()
    restart(observer)
    wait_until(
        lambda: observer.readiness(RESTARTED_DAEMON) is not None,
        'a response of the restarted daemon',
    )
    end_s = time.monotonic() + PEERS_PAUSE_S
    while time.monotonic() < end_s:
        observer.readiness(RESTARTED_DAEMON)
    for peer in peers:
        peer.resume()


def is_ready(observer: VersionObserver) -> bool:
    readiness = observer.readiness(RESTARTED_DAEMON)
    return bool(readiness and readiness['ready'])


@then('it is ready only with the newest configuration')
def check_restarted(observer: VersionObserver) -> None:
    wait_until(lambda: is_ready(observer), 'the restarted daemon is ready')
    assert (
        min(observer.ready_versions[RESTARTED_DAEMON])
        >= observer.submitted_version
    )
