"""Steps of the feature on dispatch by rank and changes of dispatcher."""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep.model import Cell
from cowslipstep.routing import rendezvous_order
from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._generation import prompt_digest
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs
from cowslipstep_standins.load import round_robin, send_all

scenarios('dispatch.feature')

MAX_CONCURRENT_CALLS = 32
PARALLEL_CALLERS = 40
PREFIX_CHARS = 64
PROMPTS = ('span summary ' * 9, 'defect notes ' * 9)
URGENT_PROMPT = 'a crew waits at a pole'


@pytest.fixture(scope='module')
def three_daemons() -> Iterator[LocalFleet]:
    shape = FleetShape(daemons=3, slots=2, token_s=0.005)
    with local_fleet(shape) as fleet:
        yield fleet


@pytest.fixture
def dispatcher(fleet: LocalFleet) -> str:
    cell = Cell('drafting', fleet.plan.shape.failure_domains[0])
    names = [daemon.name for daemon in fleet.plan.daemons]
    return rendezvous_order(str(cell), names)[0]


@given('a fleet of three daemons', target_fixture='fleet')
def given_fleet(three_daemons: LocalFleet) -> LocalFleet:
    return three_daemons


@when(
    parsers.parse('an urgent request arrives after {count:d} background ones'),
    target_fixture='outcomes',
)
def send_background_then_urgent(fleet: LocalFleet, count: int) -> list[Outcome]:
    choose = round_robin([daemon.http for daemon in fleet.plan.daemons])
    caller = Caller(MAX_CONCURRENT_CALLS)
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        futures = [
            pool.submit(caller.send, choose(index), _background(index))
            for index in range(count)
        ]
        wait_until(
            lambda: _started_background_runs(fleet) > 2,
            'background requests run',
        )
        urgent = Call(URGENT_PROMPT, 'grid-b', 'urgent', 4)
        futures.append(pool.submit(caller.send, choose(0), urgent))
        return [future.result() for future in futures]


@then('it runs before the background requests that waited')
def check_order(fleet: LocalFleet) -> None:
    runs = sorted(engine_runs(fleet), key=lambda run: run['started_s'])
    background = {
        prompt_digest(f'weekly report {index}') for index in range(30)
    }
    digests = [run['digest'] for run in runs]
    position = digests.index(prompt_digest(URGENT_PROMPT))
    after = [digest for digest in digests[position:] if digest in background]
    assert len(after) >= len(background) / 2


@when(
    parsers.parse(
        "the cell's dispatcher is {fault} while {count:d} requests wait at it"
        ' through the others',
    ),
    target_fixture='outcomes',
)
def send_with_fault(
    fleet: LocalFleet,
    dispatcher: str,
    fault: str,
    count: int,
) -> list[Outcome]:
    others = [
        daemon.http
        for daemon in fleet.plan.daemons
        if daemon.name != dispatcher
    ]
    calls = [
        Call(f'{fault} {index}', 'grid-a', tokens=40) for index in range(count)
    ]
    before = len(engine_runs(fleet))
    with ThreadPoolExecutor(1) as pool:
        sent = pool.submit(
            send_all, calls, round_robin(others), PARALLEL_CALLERS
        )
        wait_until(lambda: len(engine_runs(fleet)) > before + 4, 'requests run')
        _fail(fleet, dispatcher, fault)
        return sent.result()


@then('each response is complete and belongs to its caller')
def check_responses(outcomes: list[Outcome]) -> None:
    wrong = [outcome for outcome in outcomes if not outcome.correct]
    assert not wrong


@then('the dispatcher recovers and requests through it are answered')
def check_return(fleet: LocalFleet, dispatcher: str, caller: Caller) -> None:
    process = fleet.daemon(dispatcher)
    if process.running:
        process.resume()
    else:
        fleet.start_daemon(dispatcher)
    address = fleet.plan.daemon(dispatcher).http
    call = Call('after the fault', 'grid-b')
    wait_until(
        lambda: caller.send(address, call).correct,
        'a request through the dispatcher completes',
    )


def _fail(fleet: LocalFleet, dispatcher: str, fault: str) -> None:
    if fault == 'frozen':
        fleet.daemon(dispatcher).pause()
        return
    fleet.daemon(dispatcher).kill()


def _background(index: int) -> Call:
    return Call(f'weekly report {index}', 'grid-a', 'background', 60)


def _started_background_runs(fleet: LocalFleet) -> int:
    background = {
        prompt_digest(f'weekly report {index}') for index in range(30)
    }
    return sum(run['digest'] in background for run in engine_runs(fleet))


@pytest.fixture
def two_groups() -> Iterator[LocalFleet]:
    shape = FleetShape(
        daemons=3,
        hosts_per_domain=4,
        slots=4,
        token_s=0.005,
    )
    with local_fleet(shape) as fleet:
        yield fleet


@given('a fleet of three daemons and two groups', target_fixture='fleet')
def given_two_groups(two_groups: LocalFleet) -> LocalFleet:
    return two_groups


@given(
    'each of two prompts is cached on a different group',
    target_fixture='prompts',
)
def cache_prompts(fleet: LocalFleet) -> tuple[str, ...]:
    """Send pairs of new prompts until one ran on two groups.

    Both run on one group if the first has ended before the second arrives, or
    while the dispatcher does not count the other group as ready.
    """
    pairs = (
        tuple(f'{number} {prompt}' for prompt in PROMPTS)
        for number in itertools.count()
    )
    cached: list[tuple[str, ...]] = []
    wait_until(
        lambda: _has_parted(fleet, next(pairs), cached),
        'two prompts ran on different groups',
    )
    wait_until(
        lambda: _is_published(fleet, cached[0]),
        'both prompts in the cache events',
    )
    return cached[0]


@when(
    "the cell's dispatcher is killed and the next one has read the cache events"
)
def replace_dispatcher(
    fleet: LocalFleet, dispatcher: str, caller: Caller
) -> None:
    before = _cache_reads(fleet)
    fleet.daemon(dispatcher).kill()
    other = _other(fleet, dispatcher)
    warm_up = Call('after the fault', 'grid-b', tokens=1)
    wait_until(
        lambda: caller.send(other, warm_up).correct, 'a new dispatcher serves'
    )
    wait_until(
        lambda: _cache_reads(fleet) >= before + len(PROMPTS),
        'its reads of cache events',
    )
    assert caller.send(other, warm_up).correct


@then('each of the two prompts runs on its group again')
def check_groups(
    fleet: LocalFleet,
    dispatcher: str,
    caller: Caller,
    prompts: tuple[str, ...],
) -> None:
    other = _other(fleet, dispatcher)
    for prompt in prompts:
        assert caller.send(other, Call(prompt, 'grid-a', tokens=1)).correct
        assert len(set(_groups_of(fleet, prompt))) == 1


def _other(fleet: LocalFleet, dispatcher: str) -> str:
    others = [
        daemon.http
        for daemon in fleet.plan.daemons
        if daemon.name != dispatcher
    ]
    return others[0]


def _groups_of(fleet: LocalFleet, prompt: str) -> list[str]:
    digest = prompt_digest(prompt)
    return [
        run['group'] for run in engine_runs(fleet) if run['digest'] == digest
    ]


def _cache_reads(fleet: LocalFleet) -> int:
    return sum(
        fleet.control(host.address)['cache_reads'] for host in fleet.plan.hosts
    )


def _has_parted(
    fleet: LocalFleet,
    prompts: tuple[str, ...],
    parted: list[tuple[str, ...]],
) -> bool:
    """Send both prompts at once; add them if they ran on two groups."""
    calls = [Call(prompt, 'grid-a', tokens=400) for prompt in prompts]
    address = fleet.plan.daemons[0].http
    sent = send_all(calls, round_robin([address]), len(calls))
    assert all(outcome.correct for outcome in sent)
    first, second = (set(_groups_of(fleet, prompt)) for prompt in prompts)
    if len(first) == len(second) == 1 and first != second:
        parted.append(prompts)
    return bool(parted)


def _is_published(fleet: LocalFleet, prompts: tuple[str, ...]) -> bool:
    """Whether the engines have published cache events of both prompts."""
    http = urllib3.PoolManager(retries=False)
    published = ''
    for host in fleet.plan.hosts:
        url = f'http://{host.address}/cache-events?after=0'
        published += http.request('GET', url).data.decode()
    return all(_prefix_digest(prompt) in published for prompt in prompts)


def _prefix_digest(prompt: str) -> str:
    return hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()
