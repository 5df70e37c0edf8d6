"""Samples ledgers and versions of a fleet while faults are injected."""

from __future__ import annotations

import collections
import contextlib
import itertools
import json
import threading
from collections.abc import Iterator
from typing import Any

import urllib3
from attrs import define, field

from cowslipstep_standins._fleet import LocalFleet

_SAMPLE_PERIOD_S = 0.1
_REQUEST_TIMEOUT_S = 1
_OK = 200


@define
class FleetMonitor:
    """Samples of the ledgers and daemons of a fleet, taken periodically.

    Attributes
    ----------
    shared_hosts
        Hosts that were in two groups of the platform's ledgers at once.
    versions
        Configuration versions that each daemon had in force, in order.
    next_numbers
        Number of the next group in the ledger of each fabric domain, in
        the order of the samples.
    """

    fleet: LocalFleet
    shared_hosts: set[str] = field(factory=set)
    versions: dict[str, list[int]] = field(factory=dict)
    next_numbers: dict[str, list[int]] = field(factory=dict)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False),
    )

    @property
    def reverted(self) -> set[str]:
        """Daemons and ledgers whose version or next number has decreased."""
        return {
            name
            for history in (self.versions, self.next_numbers)
            for name, numbers in history.items()
            if numbers != sorted(numbers)
        }

    def ledgers(self) -> dict[str, Any]:
        """Read the ledgers of all fabric domains from the platform directly.

        The result is empty during an outage of the platform.
        """
        platform = self.fleet.plan.platform
        response = self.http.request('GET', f'http://{platform}/objects/ledger')
        if response.status != _OK:
            return {}
        return {
            entry['name']: json.loads(entry['body'])
            for entry in response.json()['objects']
        }

    def version(self, daemon: str) -> int:
        """Return the version in force at a daemon; zero without a response."""
        address = self.fleet.plan.daemon(daemon).http
        try:
            response = self.http.request(
                'GET',
                f'http://{address}/readyz',
                timeout=_REQUEST_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return 0
        return int(response.json()['version'])

    def run(self, stop: threading.Event) -> None:
        """Take samples until ``stop`` is set."""
        while not stop.wait(_SAMPLE_PERIOD_S):
            self._sample()

    def _sample(self) -> None:
        ledgers = self.ledgers()
        self.shared_hosts |= _shared_hosts(ledgers)
        for domain, ledger in ledgers.items():
            self.next_numbers.setdefault(domain, []).append(
                ledger['next_number']
            )
        for plan in self.fleet.plan.daemons:
            version = self.version(plan.name)
            if version:
                self.versions.setdefault(plan.name, []).append(version)


def _shared_hosts(ledgers: dict[str, Any]) -> set[str]:
    groups = itertools.chain.from_iterable(
        ledger['groups'] for ledger in ledgers.values()
    )
    members = collections.Counter(
        itertools.chain.from_iterable(group['members'] for group in groups),
    )
    return {host for host, count in members.items() if count > 1}


@contextlib.contextmanager
def monitored(fleet: LocalFleet) -> Iterator[FleetMonitor]:
    """Monitor a fleet in a thread until the context ends."""
    monitor = FleetMonitor(fleet)
    stop = threading.Event()
    thread = threading.Thread(target=monitor.run, args=(stop,))
    thread.start()
    try:
        yield monitor
    finally:
        stop.set()
        thread.join()
