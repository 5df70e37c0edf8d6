"""What a daemon copies from peers when it falls behind."""

from __future__ import annotations

import types

import eventlet
import pytest

from cowslipstep.model import ConfigurationCopy, ConfigurationQuery
from cowslipstep.model.loads import LoadReport
from cowslipstep.serving import _catching_up

# A configuration has to be in force everywhere by this time.
APPLIED_S = 3
STEP_S = 0.1
# A watch tells of changes at this pace.
STEPS_OF_A_WATCH = 4


class Follower:
    """A daemon that a relay feeds, and the relay that it asks."""

    def __init__(self) -> None:
        self.now_s: float = 100
        self.version = 1
        self.asked: list[ConfigurationQuery] = []
        self.newest = 1
        self.catching_up = _catching_up.CatchingUp(
            types.SimpleNamespace(
                configuration=self,
                directory=types.SimpleNamespace(revision=0, lost=False),
                role=types.SimpleNamespace(fed=True),
            ),
        )

    def monotonic(self) -> float:
        """Return the time."""
        return self.now_s

    def call(self, query, _timeout_s) -> ConfigurationCopy:
        """Answer as the relay."""
        self.asked.append(query)
        return ConfigurationCopy(self.newest, str(self.newest))

    def take(self, document: str) -> None:
        """Take a configuration."""
        self.version = int(document)

    def hear(self) -> None:
        """Hear a report of the relay."""
        report = LoadReport('relay', 1, configuration_version=self.newest)
        self.catching_up.start(report, self)
        eventlet.sleep(0)
        self.now_s += STEP_S


@pytest.fixture
def follower(monkeypatch) -> Follower:
    daemon = Follower()
    monkeypatch.setattr(_catching_up, 'time', daemon)
    return daemon


def test_relay_is_not_asked_for_each_version(follower):
    follower.hear()
    for step in range(60):
        follower.newest += 1
        follower.hear()
        if step % STEPS_OF_A_WATCH == 0:
            follower.take(str(follower.newest))
    assert not follower.asked


def test_relay_is_asked_when_the_watch_is_silent(follower):
    follower.newest = 2
    end_s = follower.now_s + APPLIED_S / 2
    while follower.now_s < end_s:
        follower.hear()
    assert follower.version == 2
    assert len(follower.asked) == 1
