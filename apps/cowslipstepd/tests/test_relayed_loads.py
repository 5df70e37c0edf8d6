"""What each of many daemons knows of the requests of all others."""

from __future__ import annotations

import types

import pytest

from cowslipstep.model import Address, DaemonEntry
from cowslipstep.routing import UpstreamLoads
from cowslipstep.serving import _demand, _peers, _relay_role, _reports

DOMAINS = ('north', 'south', 'west')
IN_DOMAIN = 6
STEP_S = 0.2
SETTLED_S = 6
UPSTREAM = 'u'
ENTRIES = tuple(
    DaemonEntry(f'{domain}-{number}', Address('127.0.0.1', 1), domain, number)
    for domain in DOMAINS
    for number in range(IN_DOMAIN)
)


class Clock:
    """The clock of all daemons."""

    now_s: float = 100

    def monotonic(self) -> float:
        """Return the time."""
        return self.now_s


class Daemon:
    """A daemon with one request at the upstream that all use."""

    def __init__(self, entry: DaemonEntry, clock: Clock) -> None:
        self.entry = entry
        self.running = True
        self.others: dict[str, DaemonEntry] = {}
        self.state = types.SimpleNamespace(
            own_entry=entry,
            role=_relay_role.RelayRole(entry),
            loads=UpstreamLoads(clock.monotonic),
            settings=types.SimpleNamespace(name=entry.name),
            configuration=types.SimpleNamespace(version=1),
            suspicions=types.SimpleNamespace(doubts=()),
            directory=types.SimpleNamespace(revision=1, lost=False),
            served=True,
            is_controller=False,
            model_work_s={},
        )
        self.reports = _reports.ReportMaker(
            self.state,
            _demand.DemandWatch(self.state),
            types.SimpleNamespace(own_heard=()),
        )
        self.peers = _peers.PeerReports(self.state, self, self.reports)

    def told(self) -> set[str]:
        """Choose the role and return which daemons it tells."""
        self.state.role.choose(self.others.values())
        return _peers._wanted(self.state) & self.others.keys()


class Fleet:
    """Daemons that tell each other of loads in steps."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.daemons = {entry.name: Daemon(entry, clock) for entry in ENTRIES}
        self._use: list = []
        for daemon in self.daemons.values():
            daemon.others = {
                entry.name: entry for entry in ENTRIES if entry != daemon.entry
            }
            request = daemon.state.loads.own.counted(UPSTREAM)
            request.__enter__()
            self._use.append(request)

    def run(self, seconds: float) -> None:
        """Let all running daemons tell each other for a while."""
        end_s = self._clock.now_s + seconds
        while self._clock.now_s < end_s:
            self._clock.now_s += STEP_S
            for daemon in self.running():
                for name in daemon.told():
                    self._tell(daemon, self.daemons[name])

    def running(self) -> list[Daemon]:
        """Return the daemons that run."""
        return [one for one in self.daemons.values() if one.running]

    def known(self) -> set[int]:
        """Return how many requests the daemons know of."""
        return {
            daemon.state.loads.total(UPSTREAM).requests
            for daemon in self.running()
        }

    def _tell(self, sender: Daemon, receiver: Daemon) -> None:
        report = sender.reports.for_peer(receiver.entry.name)
        if receiver.running:
            receiver.peers.take(report, print)


@pytest.fixture
def fleet(monkeypatch) -> Fleet:
    clock = Clock()
    for module in (_demand, _relay_role, _reports):
        monkeypatch.setattr(module, 'time', clock)
    daemons = Fleet(clock)
    daemons.run(SETTLED_S)
    return daemons


def test_each_daemon_knows_all_requests(fleet):
    assert fleet.known() == {len(ENTRIES)}
    fleet.run(30)
    assert fleet.known() == {len(ENTRIES)}


@pytest.mark.parametrize('back_s', [1, 3, 20])
def test_relay_that_ends_is_replaced(fleet, back_s):
    fleet.daemons['north-0'].running = False
    fleet.run(SETTLED_S)
    assert fleet.known() == {len(ENTRIES) - 1}
    fleet.run(back_s)
    fleet.daemons['north-0'].running = True
    fleet.run(SETTLED_S)
    assert fleet.known() == {len(ENTRIES)}


def test_all_relays_end_at_once(fleet):
    for domain in DOMAINS:
        fleet.daemons[f'{domain}-0'].running = False
        fleet.daemons[f'{domain}-1'].running = False
    fleet.run(2 * SETTLED_S)
    assert fleet.known() == {len(fleet.running())}


def test_links_do_not_grow_with_time(fleet):
    fleet.run(30)
    links = sum(len(daemon.told()) for daemon in fleet.running())
    assert links < 3 * len(ENTRIES)
