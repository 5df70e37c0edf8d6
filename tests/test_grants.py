"""Steps of the feature on grants that lapse in a pause."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from attrs import define
from pytest_bdd import given, scenarios, then, when

from cowslipstep.model import Cell
from cowslipstep.routing import rank_owners
from cowslipstep_standins._balancer import Balancer
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._generation import prompt_digest
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs

scenarios('grants.feature')

_SLOW = 100
_LAPSE_S = 6
_MARGIN_S = 2
_FIRST = Call('holds the slot', 'grid-a', tokens=30)
_SECOND = Call('waits for it', 'grid-a', tokens=30)


@define
class Case:
    """A request that waits through one daemon for a grant by the other."""

    balancer: Balancer
    owner: str
    entry: str
    pending: Future[Outcome] | None = None

    @property
    def fleet(self) -> LocalFleet:
        """The fleet that runs."""
        return self.balancer.fleet

    def send(self, daemon: str, call: Call) -> Outcome:
        """Send a call through a daemon."""
        address = self.fleet.plan.daemon(daemon).http
        return self.balancer.caller.send(address, call)

    def set_platform(self, **faults: bool) -> None:
        """Set the faults of the platform."""
        self.fleet.control(self.fleet.plan.platform, faults)

    def queued(self) -> float:
        """Number of requests that wait for a slot."""
        return self.balancer.metric(self.owner, 'queued')

    def entry_answers(self) -> bool:
        """Whether the daemon that was paused goes on."""
        return self.balancer.get(self.entry, 'healthz') is not None

    def runs(self) -> list[dict]:
        """Records of the runs of the request that waited."""
        digest = prompt_digest(_SECOND.prompt)
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
    'a group with one slot, taken, and a request that waits through a daemon',
    target_fixture='case',
)
def given_case(fleet: LocalFleet, pool: ThreadPoolExecutor) -> Case:
    cell = Cell('drafting', fleet.plan.shape.failure_domains[0])
    owner, entry = rank_owners(str(cell), ('d0', 'd1'))
    case = Case(Balancer(fleet), owner, entry)
    set_engines(fleet, slow_factor=_SLOW)
    before = len(engine_runs(fleet))
    pool.submit(case.send, owner, _FIRST)
    wait_until(lambda: len(engine_runs(fleet)) > before, 'a taken slot')
    case.pending = pool.submit(case.send, entry, _SECOND)
    wait_until(lambda: case.queued() == 1, 'a request waits')
    return case


@when('the daemon is paused and the slot is granted to it')
def pause_entry_daemon(case: Case) -> None:
    case.fleet.daemon(case.entry).pause()
    set_engines(case.fleet, slow_factor=1)
    wait_until(lambda: case.queued() == 0, 'a grant')


@when('a member of the group freezes and the daemon goes on later')
def freeze_member(case: Case) -> None:
    # Without the platform the group stays as it is, short of a member.
    case.set_platform(outage=True)
    member = case.fleet.plan.hosts[1]
    case.fleet.control(member.address, {'frozen': True})
    time.sleep(_LAPSE_S)
    assert not case.runs()
    case.fleet.daemon(case.entry).resume()


@then('the request does not reach the group while the member is missing')
def check_not_sent(case: Case) -> None:
    # The grant is void by its age, or the request has moved to a new owner.
    wait_until(case.entry_answers, 'the daemon goes on')
    time.sleep(_MARGIN_S)
    assert not case.runs()


@then('it is answered whole later, or truly not run')
def check_answered(case: Case) -> None:
    set_engines(case.fleet)
    case.set_platform()
    outcome = case.pending.result()
    if outcome.verdict == 'not_run':
        assert not case.runs()
        return
    assert outcome.correct
    assert [run['missing_members'] for run in case.runs()] == [[]]
