"""When a daemon copies a configuration from a peer because its watch lags."""

from __future__ import annotations

import types

import eventlet
import pytest

from cowslipstep.model import ConfigurationCopy, ConfigurationQuery
from cowslipstep.model.loads import LoadReport
from cowslipstep.serving import _peer_catch_up
from cowslipstep.serving._configuration_in_force import Freshness
from cowslipstep.settings import ServingBounds

# A new configuration must be in force at all daemons within this time.
APPLIED_S = 3
STEP_S = 0.1
# A working watch delivers the newest version once in this many steps.
WATCH_INTERVAL_STEPS = 4


class Follower:
    """A daemon that relies on a relay, and the relay that it queries."""

    def __init__(self) -> None:
        self.now_s: float = 100
        self.version = 1
        self.queries: list[ConfigurationQuery] = []
        self.newest_version = 1
        self.freshness = Freshness()
        self.catch_up = _peer_catch_up.PeerCatchUp(
            types.SimpleNamespace(
                configuration=self,
                runner_table=types.SimpleNamespace(
                    revision=0, platform_lost=False
                ),
                relay_role=types.SimpleNamespace(relies_on_relay=True),
                settings=types.SimpleNamespace(bounds=ServingBounds()),
            ),
        )

    def monotonic(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def call(self, query, _timeout_s) -> ConfigurationCopy:
        """Return a copy, as the relay does."""
        self.queries.append(query)
        return ConfigurationCopy(self.newest_version, str(self.newest_version))

    def update(self, document: str) -> None:
        """Put a configuration in force."""
        self.version = int(document)

    def receive_report(self) -> None:
        """Receive a report of the relay, and advance the clock."""
        report = LoadReport(
            'relay', 1, configuration_version=self.newest_version
        )
        self.catch_up.start(report, self)
        eventlet.sleep(0)
        self.now_s += STEP_S


@pytest.fixture
def follower(monkeypatch) -> Follower:
    daemon = Follower()
    monkeypatch.setattr(_peer_catch_up, 'time', daemon)
    return daemon


def test_relay_is_not_queried_if_the_watch_works(follower):
    follower.receive_report()
    for step in range(60):
        follower.newest_version += 1
        follower.receive_report()
        if step % WATCH_INTERVAL_STEPS == 0:
            follower.update(str(follower.newest_version))
    assert not follower.queries


def test_relay_is_queried_once_if_a_watch_stalls(follower):
    follower.newest_version = 2
    end_s = follower.now_s + APPLIED_S / 2
    while follower.now_s < end_s:
        follower.receive_report()
    assert follower.version == 2
    assert len(follower.queries) == 1
