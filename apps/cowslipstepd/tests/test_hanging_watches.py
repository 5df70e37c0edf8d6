"""A store that was silent must not keep daemons on old versions.

A watch that it received meanwhile gets no response for 27 s. The rule: a
version is in force 3 s after the store acknowledged it.
"""

from __future__ import annotations

import types
from collections.abc import Iterator

import eventlet
import pytest
import urllib3
from _header_dialect import HeaderDialect
from _silent_store import Calls, Responses, SilentStore
from _simulated_time import SimulatedTime

from cowslipstep.fleet import (
    CallerLimits,
    DiscoveredRunner,
    ServingConfiguration,
)
from cowslipstep.model import Address, DaemonEntry
from cowslipstep.model.loads import LoadReport
from cowslipstep.platform import StoreDialect
from cowslipstep.serving import _assembly, _evidence_tasks
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._peer_catch_up import PeerCatchUp, copy_configuration
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._relay_role import RelayRole
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingSettings

APPLIED_S = 3
ACKNOWLEDGED_S = 27.5
ANYWHERE = Address('127.0.0.1', 1)
FLEET = tuple(
    DaemonEntry(f'd{number}', ANYWHERE, 'north', number) for number in range(20)
)
CONFIGURATION = 'configuration'
EVIDENCE = 'promptevidence'


def decode(document: str) -> ServingConfiguration:
    return ServingConfiguration(int(document), (), {}, CallerLimits(1000))


def decode_runner(name: str, document: str) -> DiscoveredRunner:
    return DiscoveredRunner(name, document, ANYWHERE, 'north', 1)


class Daemon:
    """A daemon whose store is silent and whose relay the test plays."""

    def __init__(self, store: SilentStore, number: int) -> None:
        self.clock = store.clock
        self.state = ServingState(
            ServingSettings(
                f'd{number}',
                'north',
                ANYWHERE,
                ANYWHERE,
                '/ready',
                ANYWHERE,
                ANYWHERE,
                platform_reads_per_s=1000,
                platform_writes_per_s=1000,
            ),
            Dialects(
                StoreDialect(Calls(), Responses()),
                HeaderDialect(),
                None,
                decode,
                decode_runner,
            ),
            relay_role=RelayRole(FLEET[number]),
        )
        self.catch_up = PeerCatchUp(self.state)
        self.state.relay_role.choose(
            [entry for entry in FLEET if entry.name != f'd{number}']
        )
        self.tasks: list[object] = []
        self._start_tasks()

    def receive(self, name: str, version: int, silences: int = 0) -> None:
        """Receive a report of a relay."""
        report = LoadReport(
            name,
            1,
            version,
            from_relay=True,
            covers_all_daemons=True,
            store_silences=silences,
        )
        self.state.relay_role.record(report)
        self.catch_up.start(report, self)

    def call(self, query, _timeout_s):
        """Return the reply of a relay that has no newer version itself."""
        return copy_configuration(self.state, query.known_version)

    def relay(self, until_s: float, version: int, silences: int = 0) -> None:
        """Let the relay send reports."""
        while self.clock.now_s < until_s:
            self.receive('d0', version, silences)
            self.clock.run_until(self.clock.now_s + 0.2)

    def close(self) -> None:
        """End the tasks."""
        for task in self.tasks:
            task.kill()

    def _start_tasks(self) -> None:
        def start(_name, run, **_options):  # noqa: WPS430
            self.tasks.append(eventlet.spawn(run))

        self.state.process = types.SimpleNamespace(
            tasks=types.SimpleNamespace(start=start)
        )
        _assembly._start_watches(self.state, DaemonRegistry(FLEET[1]))
        _evidence_tasks.start_evidence_tasks(self.state)


@pytest.fixture
def store(monkeypatch) -> SilentStore:
    monkeypatch.setattr(_assembly, 'register_daemon', lambda *_: None)
    simulated = SilentStore(SimulatedTime(monkeypatch), (18, 26))
    monkeypatch.setattr(
        urllib3.HTTPConnectionPool,
        'request',
        lambda _pool, *call, **options: simulated.request(*call, **options),
    )
    return simulated


@pytest.fixture
def follower(store) -> Iterator[Daemon]:
    daemon = Daemon(store, 5)
    yield daemon
    daemon.close()


@pytest.fixture
def hanging(follower, store) -> Daemon:
    """A follower whose watches the silent store has received."""
    follower.relay(17.8, 1)
    store.revisions.update({CONFIGURATION: 2, EVIDENCE: 2})
    follower.relay(26, 2)
    assert follower.state.configuration.version == 2
    assert kinds_from(store, 18).count(CONFIGURATION) == 1
    return follower


def kinds_from(store: SilentStore, from_s: float) -> list[str]:
    paths = [path for at_s, path in store.calls if at_s >= from_s]
    return [path.partition(' ')[0] for path in paths]


def applied(daemon: Daemon) -> bool:
    daemon.clock.run_until(ACKNOWLEDGED_S + APPLIED_S)
    return daemon.state.configuration.version == 3


def test_a_lost_relay_delays_no_version(hanging, store):
    hanging.relay(27, 2)
    # The relay ends before the next version, and the next one reports 2.6 s
    # later, as in the play of docs/incidents/late-configuration.md.
    hanging.clock.run_until(ACKNOWLEDGED_S)
    store.revisions[CONFIGURATION] = 3
    hanging.clock.run_until(29.6)
    hanging.relay(ACKNOWLEDGED_S + APPLIED_S, 3)
    assert applied(hanging)


@pytest.mark.parametrize('reports_end_s', [28.2, 29.4, 40])
def test_a_watch_that_lags_is_sent_again(hanging, store, reports_end_s):
    # The relay reports the version of others; its own watch hangs, too.
    hanging.relay(ACKNOWLEDGED_S, 2)
    store.revisions[CONFIGURATION] = 3
    hanging.relay(28, 2)
    hanging.relay(min(reports_end_s, ACKNOWLEDGED_S + APPLIED_S), 3)
    assert applied(hanging)


def test_a_watch_that_is_lost_twice_is_sent_again(follower, store):
    follower.relay(17.8, 1)
    store.revisions[CONFIGURATION] = 2
    follower.relay(23, 2)
    # Another daemon got the version; the next watch of this one is lost, too.
    store.revisions[CONFIGURATION] = 3
    follower.relay(28, 3)
    assert follower.state.configuration.version == 3


def test_a_relay_tells_followers_of_a_silence(hanging, store):
    hanging.relay(27, 2)
    assert not kinds_from(store, 26)
    hanging.relay(28, 2, silences=1)
    assert sorted(kinds_from(store, 26)) == [CONFIGURATION, EVIDENCE]


def test_short_watches_reveal_a_silence(store):
    relay = Daemon(store, 0)
    relay.clock.run_until(17.8)
    store.revisions.update({CONFIGURATION: 2, EVIDENCE: 2})
    relay.clock.run_until(29)
    relay.close()
    # Its watch, sent in the silence, may wait until 45 s.
    assert EVIDENCE in kinds_from(store, 26)


def test_no_call_is_added_in_calm(follower, store):
    for version in range(1, 10):
        follower.relay(follower.clock.now_s + 1.5, version)
        store.revisions[CONFIGURATION] = version + 1
        follower.relay(follower.clock.now_s + 0.4, version)
    kinds = kinds_from(store, 0)
    # The list, and one watch for each version but the last.
    assert kinds.count(CONFIGURATION) == 10
    assert kinds.count(EVIDENCE) == 2
