"""No request reaches a runner of an evacuated failure domain."""

from __future__ import annotations

import types
from typing import Any

import eventlet
import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    Pause,
    Script,
    ScriptedRunners,
    Send,
    event,
    response,
    response_head,
)
from _serving_harness import REPEATABLE, STREAM, Harness
from attrs import evolve

from cowslipstep.fleet import (
    DiscoveredRunner,
    Evacuations,
    GroupId,
    Route,
    ServingGroup,
)
from cowslipstep.metrics import Gauges
from cowslipstep.model import Address
from cowslipstep.model.loads import LoadReport, UpstreamLoad
from cowslipstep.platform import (
    KindChanges,
    ObjectChange,
    ObjectKey,
    ObjectPage,
    StoredObject,
)
from cowslipstep.serving import _upstream_http
from cowslipstep.serving._evacuation_use import set_evacuation_gauges
from cowslipstep.serving._evacuations import (
    EVACUATIONS_KIND,
    EvacuationObserver,
    EvacuationState,
    groups_outside,
    learn_from_report,
)
from cowslipstep.serving._report_builder import has_changed

SOUTH = frozenset(('south',))
REQUESTS = 20
ROUTES = (REPEATABLE, STREAM)
UNAVAILABLE = 503
DOMAINS = ('north', 'south')
ANSWER = response(b'data: 1\n\n', 'Content-Type: text/event-stream')


def stored(name: str) -> StoredObject:
    return StoredObject(ObjectKey(EVACUATIONS_KIND, name), 1, '{}')


def page(revision: int, *names: str) -> ObjectPage:
    return ObjectPage(tuple(map(stored, names)), '', revision)


def change(revision: int, name: str, *, removed: bool = False) -> KindChanges:
    return KindChanges((ObjectChange(stored(name), removed=removed),), revision)


@pytest.fixture
def state() -> EvacuationState:
    return EvacuationState(is_enabled=True)


def test_evacuation_holds_until_it_is_withdrawn(state) -> None:
    observer = EvacuationObserver(state)
    assert not state.is_known
    observer.replace(page(1))
    assert state.is_known
    observer.apply(change(4, 'south'))
    observer.on_outage()
    observer.replace(page(7, 'south'))
    assert state.current == Evacuations(7, SOUTH)
    observer.apply(change(8, 'south', removed=True))
    assert state.current == Evacuations(8)


def test_older_revision_replaces_no_newer_one(state) -> None:
    """A late report, or a watch behind it, would bring requests back."""
    observer = EvacuationObserver(state)
    observer.replace(page(5))
    state.learn(Evacuations(9, SOUTH), 'd1')
    observer.apply(change(8, 'north'))
    state.learn(Evacuations(7), 'd2')
    assert state.current == Evacuations(9, SOUTH)
    # The watch has caught up: all that it delivered counts.
    observer.apply(change(10, 'south'))
    assert state.current.domains == {'north', 'south'}


def test_disabled_state_learns_nothing() -> None:
    state = EvacuationState(is_enabled=False)
    state.learn(Evacuations(9, SOUTH), 'd1')
    assert state.is_known
    assert not state.is_evacuated('south')


class TwoDomains:
    """A harness whose services have a runner in each of two domains."""

    def __init__(self, *scripts: Script) -> None:
        self.runners = {
            domain: ScriptedRunners(1, *scripts) for domain in DOMAINS
        }
        services: Any = types.SimpleNamespace(
            addresses=[self.address(domain) for domain in DOMAINS]
        )
        self.harness = Harness(services, services)
        self.evacuations = EvacuationState(is_enabled=True)
        self.evacuations.learn(Evacuations(1), 'd1')
        self.harness.state.evacuations = self.evacuations
        for name in self.harness._runners:
            self._move(name, DOMAINS[int(name[-1])])

    @property
    def reached(self) -> dict[str, int]:
        """Number of requests that reached the runners of each domain."""
        return {
            domain: len(runners.heads)
            for domain, runners in self.runners.items()
        }

    def address(self, domain: str) -> Address:
        """Return where the runner of a domain listens."""
        return self.runners[domain].addresses[0]

    def evacuate(self, *domains: str) -> None:
        """Evacuate these domains, at a newer revision."""
        revision = self.evacuations.current.revision + 1
        self.evacuations.learn(Evacuations(revision, frozenset(domains)), 'd1')

    def _move(self, name: str, domain: str) -> None:
        runner = evolve(self.harness._runners[name], failure_domain=domain)
        self.harness._runners[name] = runner
        self.harness.state.runner_entries.put(name, domain)


def play_evacuation(*evacuated: str) -> list[Any]:
    """Return statuses and requests by domain, for each route."""
    played = []
    for route in ROUTES:
        fleet = TwoDomains((Send(ANSWER),))
        fleet.evacuate(*evacuated)
        received = [fleet.harness.exchange(route) for _ in range(REQUESTS)]
        played.append(({got.status for got in received}, fleet.reached))
    return played


def test_evacuated_domain_gets_no_requests() -> None:
    # The daemon is in the north, which it prefers otherwise.
    for _statuses, reached in in_green_process(play_evacuation):
        assert reached['north']
    for outcome in in_green_process(play_evacuation, 'north'):
        assert outcome == ({200}, {'north': 0, 'south': REQUESTS})
    for outcome in in_green_process(play_evacuation, *DOMAINS):
        assert outcome == ({UNAVAILABLE}, {'north': 0, 'south': 0})


def play_restart() -> list[tuple[bool, int]]:
    """Return readiness and status before and after a peer's report."""
    fleet = TwoDomains((Send(ANSWER),))
    state = fleet.harness.state
    state.evacuations = EvacuationState(is_enabled=True)
    played = []
    for report in (
        LoadReport('d1', 1, 1),
        LoadReport('d1', 2, 1, evacuations_revision=3),
    ):
        learn_from_report(state.evacuations, report)
        status = fleet.harness.exchange(REPEATABLE).status
        played.append((state.is_ready, status))
    return played


def test_nothing_is_served_before_they_are_known() -> None:
    """A restarted daemon would send requests to an evacuated domain."""
    played = in_green_process(play_restart)
    assert played == [(False, UNAVAILABLE), (True, 200)]


def test_new_domain_is_reported_at_once() -> None:
    report = LoadReport('d0', 1, 1, evacuations_revision=4)
    newer = evolve(report, evacuations_revision=5)
    assert not has_changed(report, newer)
    assert has_changed(report, evolve(newer, evacuated_domains=('south',)))


def test_group_with_an_evacuated_member() -> None:
    leader = DiscoveredRunner('r0', 's', Address('127.0.0.1', 1), 'north', 1)
    member = evolve(leader, name='r1', failure_domain='south')
    group_id = GroupId('s', 'g1', 1)
    groups = (
        ServingGroup(group_id, 'm', (leader, leader)),
        ServingGroup(group_id, 'm', (leader, member)),
    )
    assert groups_outside(Evacuations(1), groups) == groups
    assert groups_outside(Evacuations(1, SOUTH), groups) == [groups[0]]


def play_late_evacuation(route: Route) -> tuple[int, int]:
    """Evacuate the chosen domain once the connection is made.

    Returns the status, and how many requests reached that domain.
    """
    connect = _upstream_http.HTTPConnection.connect
    fleet = TwoDomains((Send(ANSWER),))
    ports = {fleet.address(domain).port: domain for domain in DOMAINS}
    connected: list[str] = []

    def connect_late(connection):  # noqa: WPS430
        connect(connection)
        if not connected:
            connected.append(ports[connection.port])
            fleet.evacuate(*connected)

    _upstream_http.HTTPConnection.connect = connect_late
    status = fleet.harness.exchange(route).status
    return status, fleet.reached[connected[0]]


@pytest.mark.parametrize('route', ROUTES)
def test_evacuation_after_the_connection_is_made(route: Route) -> None:
    """The request would be written to a runner that was chosen before."""
    assert in_green_process(play_late_evacuation, route) == (200, 0)


def test_use_of_an_evacuated_domain_is_shown() -> None:
    """An operator must see when the domain is idle."""
    assert in_green_process(gauges_of_a_busy_domain) == {
        'evacuations_revision 2',
        'evacuated_domains 1',
        'evacuated_in_use{failure_domain="south",unit="group"} 1',
        'evacuated_in_use{failure_domain="south",unit="runner"} 1',
    }


def gauges_of_a_busy_domain() -> set[str]:
    fleet = TwoDomains((Send(ANSWER),))
    state = fleet.harness.state
    fleet.evacuate('south')
    busy = (UpstreamLoad('engine-1', 2), UpstreamLoad('engine-0', 1))
    state.loads.record(LoadReport('d1', 1, 1, busy))
    gauges = Gauges()
    with state.loads.own.counted('plain-1'):
        set_evacuation_gauges(gauges, state)
    return {line.removeprefix('cowslipstep_') for line in gauges.render()}


def play_stream_in_progress() -> bytes:
    events = (event(1), event(2))
    head = response_head(
        f'Content-Length: {sum(map(len, events))}',
        'Content-Type: text/event-stream',
    )
    begins = Send(head + events[0])
    fleet = TwoDomains((begins, Pause(0.15), Send(events[1])))
    exchange = eventlet.spawn(fleet.harness.exchange, STREAM)
    while not any(fleet.reached.values()):
        eventlet.sleep(0.01)
    fleet.evacuate(*DOMAINS)
    return exchange.wait().body


def test_stream_in_progress_ends_undisturbed() -> None:
    body = in_green_process(play_stream_in_progress)
    assert body.endswith(event(2))
