"""Watches a fleet from outside while faults are caused."""

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

_PERIOD_S = 0.1
_TIMEOUT_S = 1
_OK = 200


@define
class FleetWatch:
    """What ledgers and daemons said, looked at again and again.

    Attributes
    ----------
    shared_hosts
        Hosts that stood in two groups of the platform's ledgers at once.
    versions
        Configuration versions that each daemon had in force, in order.
    numbers
        Numbers of the next group in the ledger of each fabric domain.
    """

    fleet: LocalFleet
    shared_hosts: set[str] = field(factory=set)
    versions: dict[str, list[int]] = field(factory=dict)
    numbers: dict[str, list[int]] = field(factory=dict)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False),
    )

    @property
    def reverted(self) -> set[str]:
        """Daemons and ledgers that went back to an older version."""
        return {
            name
            for seen in (self.versions, self.numbers)
            for name, numbers in seen.items()
            if numbers != sorted(numbers)
        }

    def ledgers(self) -> dict[str, Any]:
        """Ledgers of all fabric domains, past all relays.

        There are none to see while the platform is out.
        """
        platform = self.fleet.plan.platform
        answer = self.http.request('GET', f'http://{platform}/objects/ledger')
        if answer.status != _OK:
            return {}
        return {
            entry['name']: json.loads(entry['body'])
            for entry in answer.json()['objects']
        }

    def version(self, daemon: str) -> int:
        """Version in force at a daemon; zero if it does not answer."""
        address = self.fleet.plan.daemon(daemon).http
        try:
            answer = self.http.request(
                'GET',
                f'http://{address}/readyz',
                timeout=_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return 0
        return int(answer.json()['version'])

    def run(self, ended: threading.Event) -> None:
        """Look until told to end."""
        while not ended.wait(_PERIOD_S):
            self._look()

    def _look(self) -> None:
        ledgers = self.ledgers()
        self.shared_hosts |= _shared_hosts(ledgers)
        for domain, ledger in ledgers.items():
            self.numbers.setdefault(domain, []).append(ledger['next_number'])
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
def watched(fleet: LocalFleet) -> Iterator[FleetWatch]:
    """Watch a fleet in a thread of its own."""
    watch = FleetWatch(fleet)
    ended = threading.Event()
    thread = threading.Thread(target=watch.run, args=(ended,))
    thread.start()
    try:
        yield watch
    finally:
        ended.set()
        thread.join()
