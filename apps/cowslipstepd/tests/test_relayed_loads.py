"""Loads of all daemons reach each daemon, also when relays fail."""

from __future__ import annotations

import time
import types

import pytest

from cowslipstep.fleet import Evacuations
from cowslipstep.model import Address, DaemonEntry
from cowslipstep.platform import WatchDoubts
from cowslipstep.routing import UpstreamLoads
from cowslipstep.serving import (
    _demand,
    _peer_reports,
    _relay_reliance,
    _relay_role,
    _report_builder,
)
from cowslipstep.serving._evacuations import EvacuationState

DOMAINS = ('north', 'south', 'west')
DAEMONS_PER_DOMAIN = 6
STEP_S = 0.2
SETTLED_S = 6
UPSTREAM = 'u'
ENTRIES = tuple(
    DaemonEntry(f'{domain}-{number}', Address('127.0.0.1', 1), domain, number)
    for domain in DOMAINS
    for number in range(DAEMONS_PER_DOMAIN)
)
# Daemons whose names a daemon has read in some tests.
KNOWN = 3


class Clock:
    """The simulated clock of all daemons."""

    now_s: float = 100

    def monotonic(self) -> float:
        """Return the time."""
        return self.now_s


class Daemon:
    """A daemon with one request in progress at the shared upstream."""

    def __init__(self, entry: DaemonEntry, clock: Clock) -> None:
        self.entry = entry
        self.running = True
        self.others: dict[str, DaemonEntry] = {}
        self.state = types.SimpleNamespace(
            own_entry=entry,
            cold_runners=types.SimpleNamespace(listed=KNOWN),
            relay_role=_relay_role.RelayRole(entry),
            loads=UpstreamLoads(clock.monotonic),
            settings=types.SimpleNamespace(name=entry.name),
            configuration=types.SimpleNamespace(version=1),
            suspicions=types.SimpleNamespace(suspected_upstreams=(), doubts=()),
            runner_table=types.SimpleNamespace(revision=1, platform_lost=False),
            platform=types.SimpleNamespace(doubts=WatchDoubts(time.monotonic)),
            has_served=True,
            is_controller=False,
            model_work_s={},
            evacuations=EvacuationState(is_enabled=True),
        )
        self.reports = _report_builder.ReportBuilder(
            self.state,
            _demand.DemandEstimator(self.state),
            types.SimpleNamespace(own_reachable=()),
        )
        self.peers = _peer_reports.PeerReports(self.state, self, self.reports)

    def report_receivers(self) -> set[str]:
        """Choose the role, and return the daemons that receive reports."""
        self.state.relay_role.choose(self.others.values())
        return _peer_reports._report_receivers(self.state) & self.others.keys()


class Fleet:
    """Daemons that exchange load reports in steps."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.daemons = {entry.name: Daemon(entry, clock) for entry in ENTRIES}
        self._in_progress: list = []
        for daemon in self.daemons.values():
            daemon.others = {
                entry.name: entry for entry in ENTRIES if entry != daemon.entry
            }
            request = daemon.state.loads.own.counted(UPSTREAM)
            request.__enter__()
            self._in_progress.append(request)

    def run(self, seconds: float) -> None:
        """Let all running daemons exchange reports for that time."""
        end_s = self._clock.now_s + seconds
        while self._clock.now_s < end_s:
            self._clock.now_s += STEP_S
            for daemon in self.running():
                for name in daemon.report_receivers():
                    self._deliver(daemon, self.daemons[name])

    def running(self) -> list[Daemon]:
        """Return the daemons that are not stopped."""
        return [daemon for daemon in self.daemons.values() if daemon.running]

    def known_requests(self) -> set[int]:
        """Return the distinct totals that daemons have; one if they agree."""
        return {
            daemon.state.loads.total(UPSTREAM).requests
            for daemon in self.running()
        }

    def _deliver(self, sender: Daemon, receiver: Daemon) -> None:
        report = sender.reports.report_for(receiver.entry.name)
        if receiver.running:
            receiver.peers.receive(report, print)


@pytest.fixture
def fleet(monkeypatch) -> Fleet:
    clock = Clock()
    for module in (_demand, _relay_role, _relay_reliance, _report_builder):
        monkeypatch.setattr(module, 'time', clock)
    daemons = Fleet(clock)
    daemons.run(SETTLED_S)
    return daemons


def test_each_daemon_counts_all_requests_once(fleet):
    assert fleet.known_requests() == {len(ENTRIES)}
    fleet.run(30)
    assert fleet.known_requests() == {len(ENTRIES)}


@pytest.mark.parametrize('return_delay_s', [1, 3, 20])
def test_failed_relay_is_replaced_and_may_return(fleet, return_delay_s):
    fleet.daemons['north-0'].running = False
    fleet.run(SETTLED_S)
    assert fleet.known_requests() == {len(ENTRIES) - 1}
    fleet.run(return_delay_s)
    fleet.daemons['north-0'].running = True
    fleet.run(SETTLED_S)
    assert fleet.known_requests() == {len(ENTRIES)}


def test_loads_are_complete_after_all_relays_fail(fleet):
    for domain in DOMAINS:
        fleet.daemons[f'{domain}-0'].running = False
        fleet.daemons[f'{domain}-1'].running = False
    fleet.run(2 * SETTLED_S)
    assert fleet.known_requests() == {len(fleet.running())}


# A daemon that has read few names must not take a large share of a limit.
def test_all_daemons_learn_how_many_there_are(fleet):
    state = fleet.daemons['north-3'].state
    state.cold_runners.listed = 2 * KNOWN
    fleet.run(SETTLED_S)
    assert {
        _peer_reports._largest_known(daemon.state.loads.reports)
        for name, daemon in fleet.daemons.items()
        if name != 'north-3'
    } == {2 * KNOWN}


def test_number_of_links_stays_bounded(fleet):
    fleet.run(30)
    links = sum(len(daemon.report_receivers()) for daemon in fleet.running())
    assert links < 3 * len(ENTRIES)


# A relay, a follower, and a daemon that was cut off from the store: those that
# do not reach it learn the state from the reports.
@pytest.mark.parametrize('source', ['north-0', 'south-4', 'west-0'])
def test_newest_evacuations_reach_each_daemon(fleet, source):
    for evacuated in (
        Evacuations(5, frozenset(('south',))),
        Evacuations(9, frozenset(('west',))),
        Evacuations(12),
    ):
        state = fleet.daemons[source].state
        state.evacuations.learn(evacuated, 'platform')
        fleet.run(3 * STEP_S)
        known = {daemon.state.evacuations.current for daemon in fleet.running()}
        assert known == {evacuated}


def test_restarted_daemon_learns_the_evacuations(fleet):
    evacuated = Evacuations(5, frozenset(('south',)))
    relay = fleet.daemons['north-0'].state
    relay.evacuations.learn(evacuated, 'platform')
    known = EvacuationState(is_enabled=True)
    fleet.daemons['south-3'].state.evacuations = known
    assert not known.is_known
    fleet.run(3 * STEP_S)
    assert known.is_known
    assert known.current == evacuated
