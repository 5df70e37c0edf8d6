"""Steps of the feature on grants that a paused daemon receives too late."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from attrs import define
from pytest_bdd import given, scenarios, then, when

from cowslipstep.model import Cell
from cowslipstep.routing import rendezvous_order
from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._generation import prompt_digest
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('grants.feature')

_SLOW_FACTOR = 100
# Longer than a granted request may wait before it is sent to its group, since
# the readiness of the group is confirmed for a shorter time only.
_PAUSE_S = 6
_WAIT_AFTER_RESUME_S = 2
_RUNNING_CALL = Call('holds the slot', 'grid-a', tokens=30)
_WAITING_CALL = Call('waits for it', 'grid-a', tokens=30)


@define
class Case:
    """A request that waits through one daemon for a grant of the other.

    ``dispatcher`` is the daemon that dispatches the cell, ``entry`` the daemon
    that received the request.
    """

    balancer: Balancer
    dispatcher: str
    entry: str
    pending: Future[Outcome] | None = None

    @property
    def fleet(self) -> LocalFleet:
        """The local fleet."""
        return self.balancer.fleet

    def send(self, daemon: str, call: Call) -> Outcome:
        """Send a call through a daemon."""
        address = self.fleet.plan.daemon(daemon).http
        return self.balancer.caller.send(address, call)

    def set_platform(self, **faults: bool) -> None:
        """Set the faults of the platform."""
        self.fleet.control(self.fleet.plan.platform, faults)

    def queued(self) -> float:
        """Return the number of requests that wait for a slot."""
        return self.balancer.metric(self.dispatcher, 'queued')

    def has_entry_resumed(self) -> bool:
        """Whether the entry daemon responds again after its pause."""
        return self.balancer.get(self.entry, 'healthz') is not None

    def runs(self) -> list[dict]:
        """Return the records of the runs of the waiting request."""
        digest = prompt_digest(_WAITING_CALL.prompt)
        runs = engine_runs(self.fleet)
        return [run for run in runs if run['digest'] == digest]


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(2) as threads:
        yield threads


@pytest.fixture
def fleet(pool: ThreadPoolExecutor) -> Iterator[LocalFleet]:
    with local_fleet(FleetShape(daemons=2, slots=1, token_s=0.01)) as running:
        yield running


def set_engines(fleet: LocalFleet, **faults: float) -> None:
    for host in fleet.plan.hosts:
        fleet.control(host.address, faults)


@given(
    'a group whose only slot is taken, and a request that waits through a '
    'daemon',
    target_fixture='case',
)
def given_case(fleet: LocalFleet, pool: ThreadPoolExecutor) -> Case:
    cell = Cell('drafting', fleet.plan.shape.failure_domains[0])
    dispatcher, entry = rendezvous_order(str(cell), ('d0', 'd1'))
    case = Case(Balancer(fleet), dispatcher, entry)
    set_engines(fleet, slow_factor=_SLOW_FACTOR)
    before = len(engine_runs(fleet))
    pool.submit(case.send, dispatcher, _RUNNING_CALL)
    wait_until(
        lambda: len(engine_runs(fleet)) > before,
        'the first request takes the slot',
    )
    case.pending = pool.submit(case.send, entry, _WAITING_CALL)
    wait_until(lambda: case.queued() == 1, 'the second request waits')
    return case


@when('the daemon is paused and the slot is granted to it')
def pause_entry_daemon(case: Case) -> None:
    case.fleet.daemon(case.entry).pause()
    set_engines(case.fleet, slow_factor=1)
    wait_until(lambda: case.queued() == 0, 'the slot is granted')


@when(
    'a member of the group freezes and the daemon resumes too late to use '
    'its grant'
)
def freeze_member(case: Case) -> None:
    # Without the platform no new group replaces the one with the frozen
    # member.
    case.set_platform(outage=True)
    member = case.fleet.plan.hosts[1]
    case.fleet.control(member.address, {'frozen': True})
    time.sleep(_PAUSE_S)
    assert not case.runs()
    case.fleet.daemon(case.entry).resume()


@then('the request does not reach the group while the member is frozen')
def check_not_sent(case: Case) -> None:
    # The time to use the grant has passed, or the request has moved to a new
    # dispatcher.
    wait_until(case.has_entry_resumed, 'the entry daemon responds')
    time.sleep(_WAIT_AFTER_RESUME_S)
    assert not case.runs()


@then('it completes later, or its verdict "not_run" is true')
def check_outcome(case: Case) -> None:
    set_engines(case.fleet)
    case.set_platform()
    outcome = case.pending.result()
    if outcome.verdict == 'not_run':
        assert not case.runs()
        return
    assert outcome.correct
    assert [run['missing_members'] for run in case.runs()] == [[]]
