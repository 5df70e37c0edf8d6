"""When a daemon is fed by a relay and when it asks the platform itself."""

from __future__ import annotations

import time

import pytest

from cowslipstep.model import Address, DaemonEntry
from cowslipstep.model.loads import LoadReport
from cowslipstep.routing import Follower, MeshMember, Relay
from cowslipstep.serving._relay_role import RelayRole, Unused, Whole

ANYWHERE = Address('127.0.0.1', 1)
FLEET = tuple(
    DaemonEntry(f'd{number}', ANYWHERE, 'north', number) for number in range(30)
)
OTHERS = (*FLEET[:5], *FLEET[6:])


def whole_sum(relay: str) -> LoadReport:
    return LoadReport(relay, 1, 0, from_relay=True, covers_all_daemons=True)


class Clock:
    """A clock that is set by hand."""

    now_s: float = 100

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


@pytest.fixture(name='clock')
def clock_fixture(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(time, 'monotonic', clock)
    return clock


def test_daemon_waits_until_others_are_known(clock: Clock) -> None:
    role = RelayRole(FLEET[5])
    assert role.fed
    assert role.choose(())
    assert role.current == MeshMember(frozenset())
    assert not role.fed


def test_follower_is_fed_while_its_relay_is_heard(clock: Clock) -> None:
    role = RelayRole(FLEET[5])
    role.choose(OTHERS)
    assert role.current == Follower(frozenset(('d0',)))
    for _ in range(10):
        clock.now_s += 1
        assert role.hear(whole_sum('d0')) == Whole()
        assert role.fed
    clock.now_s += 3
    assert not role.fed


def test_reports_of_other_daemons_do_not_feed(clock: Clock) -> None:
    role = RelayRole(FLEET[5])
    role.choose(OTHERS)
    clock.now_s += 3
    assert role.hear(LoadReport('d0', 1, 0)) == Unused()
    assert role.hear(whole_sum('d7')) == Unused()
    assert role.hear(LoadReport('d0', 1, 0, from_relay=True)) == Unused()
    assert not role.fed


def test_relay_asks_the_platform(clock: Clock) -> None:
    role = RelayRole(FLEET[0])
    assert role.choose(FLEET[1:])
    assert isinstance(role.current, Relay)
    assert not role.fed
    assert not role.choose(FLEET[1:])
