"""When a daemon relies on a relay, and when it uses the platform itself."""

from __future__ import annotations

import time

import pytest

from cowslipstep.model import Address, DaemonEntry
from cowslipstep.model.loads import LoadReport
from cowslipstep.routing import Follower, MeshMember, Relay
from cowslipstep.serving._relay_role import (
    CompleteReport,
    RedundantReport,
    RelayRole,
)

ANYWHERE = Address('127.0.0.1', 1)
FLEET = tuple(
    DaemonEntry(f'd{number}', ANYWHERE, 'north', number) for number in range(30)
)
OTHERS = (*FLEET[:5], *FLEET[6:])


def complete_report(relay: str) -> LoadReport:
    return LoadReport(relay, 1, 0, from_relay=True, covers_all_daemons=True)


class Clock:
    """A clock that the test sets."""

    now_s: float = 100

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


@pytest.fixture(name='clock')
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, 'monotonic', clock)
    return clock


def test_daemon_relies_on_relay_before_first_list(clock: Clock) -> None:
    role = RelayRole(FLEET[5])
    assert role.relies_on_relay
    assert role.choose(())
    assert role.current == MeshMember(frozenset())
    assert not role.relies_on_relay


def test_follower_relies_on_a_relay_that_reports(
    clock: Clock,
) -> None:
    role = RelayRole(FLEET[5])
    role.choose(OTHERS)
    assert role.current == Follower(frozenset(('d0',)))
    for _ in range(10):
        clock.now_s += 1
        assert role.record(complete_report('d0')) == CompleteReport()
        assert role.relies_on_relay
    clock.now_s += 3
    assert not role.relies_on_relay


def test_only_complete_reports_of_the_relay_count(
    clock: Clock,
) -> None:
    role = RelayRole(FLEET[5])
    role.choose(OTHERS)
    clock.now_s += 3
    assert role.record(LoadReport('d0', 1, 0)) == RedundantReport()
    assert role.record(complete_report('d7')) == RedundantReport()
    assert (
        role.record(LoadReport('d0', 1, 0, from_relay=True))
        == RedundantReport()
    )
    assert not role.relies_on_relay


def test_relay_uses_the_platform_itself(clock: Clock) -> None:
    role = RelayRole(FLEET[0])
    assert role.choose(FLEET[1:])
    assert isinstance(role.current, Relay)
    assert not role.relies_on_relay
    assert not role.choose(FLEET[1:])
