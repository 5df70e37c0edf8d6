"""Steps of the feature on complete responses to the right caller."""

from __future__ import annotations

import json
import re
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from typing import Any

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet, local_fleet
from cowslipstep_standins._generation import expected_completion, prompt_digest
from cowslipstep_standins._invariants import count_outcomes
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._plan import FleetShape
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs
from cowslipstep_standins.load import mixed_calls, round_robin, send_all

scenarios('delivery.feature')

_SLOTS = 4
_TOKEN_S = 0.004
_SEED = 5
_SHAPE = FleetShape(
    daemons=2,
    hosts_per_domain=4,
    slots=_SLOTS,
    services=1,
    token_s=_TOKEN_S,
)


@pytest.fixture(scope='module')
def two_groups() -> Iterator[LocalFleet]:
    with local_fleet(_SHAPE) as running:
        yield running


@given('a fleet of two daemons and two groups', target_fixture='fleet')
def given_fleet(two_groups: LocalFleet) -> Iterator[LocalFleet]:
    two_groups.wait_until_serving()
    yield two_groups
    set_engines(two_groups, {})


def set_engines(fleet: LocalFleet, faults: dict) -> None:
    for host in fleet.plan.hosts:
        fleet.control(host.address, faults)


@given(
    parsers.parse('each engine cuts its streams after {tokens:d} tokens'),
)
def cut_streams(fleet: LocalFleet, tokens: int) -> None:
    set_engines(fleet, {'cut_after_tokens': tokens})


@given(parsers.parse('engines take {seconds:g} seconds for a token'))
def slow_engines(fleet: LocalFleet, seconds: float) -> None:
    set_engines(fleet, {'slow_factor': seconds / _TOKEN_S})


@when('the engines run at their usual speed again')
def restore_engines(fleet: LocalFleet) -> None:
    set_engines(fleet, {})


@when(
    parsers.parse('{count:d} streams of {tokens:d} tokens are read'),
    target_fixture='outcomes',
)
def read_streams(fleet: LocalFleet, count: int, tokens: int) -> list[Outcome]:
    calls = [
        Call(f'stream {index} {tokens}', 'grid-a', tokens=tokens, stream=True)
        for index in range(count)
    ]
    return send_all(calls, round_robin(daemons(fleet)), _SLOTS)


@when(
    parsers.parse('a keyed stream of {tokens:d} tokens is read'),
    target_fixture='outcomes',
)
def read_keyed(
    fleet: LocalFleet,
    caller: Caller,
    tokens: int,
) -> list[Outcome]:
    call = Call('keyed', 'grid-a', tokens=tokens, stream=True, key='keyed-1')
    return [caller.send(first_daemon(fleet), call)]


def daemons(fleet: LocalFleet) -> list[str]:
    return [daemon.http for daemon in fleet.plan.daemons]


def first_daemon(fleet: LocalFleet) -> str:
    return fleet.plan.daemons[0].http


@then('each caller has its complete response')
def check_responses(outcomes: list[Outcome]) -> None:
    wrong = [outcome.text for outcome in outcomes if not outcome.correct]
    assert not wrong


@then(parsers.parse('each response ends with "{verdict}"'))
def check_verdicts(outcomes: list[Outcome], verdict: str) -> None:
    assert {outcome.verdict for outcome in outcomes} == {verdict}


@then('no token before that was lost or repeated')
def check_prefix(outcomes: list[Outcome]) -> None:
    for outcome in outcomes:
        call = outcome.call
        assert outcome.text
        assert expected_completion(call.prompt, call.tokens).startswith(
            outcome.text,
        )


@then('its request ran once')
def check_ran_once(fleet: LocalFleet, outcomes: list[Outcome]) -> None:
    digest = prompt_digest(outcomes[0].call.prompt)
    assert count_runs(fleet, digest) == 1


def count_runs(fleet: LocalFleet, digest: str) -> int:
    return sum(run['digest'] == digest for run in engine_runs(fleet))


@when(
    parsers.parse(
        '{count:d} requests are sent while one host after another cuts its '
        'streams',
    ),
    target_fixture='outcomes',
)
def send_while_streams_are_cut(fleet: LocalFleet, count: int) -> list[Outcome]:
    stop = threading.Event()
    with ThreadPoolExecutor(1) as pool:
        pool.submit(cut_streams_in_turn, fleet, stop)
        calls = mixed_calls(count, fleet.plan.shape.workspaces, _SEED)
        outcomes = send_all(calls, round_robin(daemons(fleet)), 6)
        stop.set()
    return outcomes


def cut_streams_in_turn(fleet: LocalFleet, stop: threading.Event) -> None:
    """Let one host after another cut its streams for 0.1 seconds."""
    while not stop.is_set():
        for host in fleet.plan.hosts:
            fleet.control(host.address, {'cut_after_tokens': 1})
            stop.wait(0.1)
            fleet.control(host.address, {})


@then('no response is wrong, doubled or a false "not_run"')
def check_guarantees(fleet: LocalFleet, outcomes: list[Outcome]) -> None:
    counts = count_outcomes(outcomes, fleet)
    assert counts.correct, counts


@then('most requests complete')
def check_most(fleet: LocalFleet, outcomes: list[Outcome]) -> None:
    counts = count_outcomes(outcomes, fleet)
    assert counts.answered * 2 > counts.requests, counts


@when(
    'each group in turn refuses requests and one is sent meanwhile',
    target_fixture='outcomes',
)
def send_while_refused(fleet: LocalFleet) -> list[Outcome]:
    outcomes = []
    for address, daemon in zip(leaders(fleet), daemons(fleet), strict=True):
        fleet.control(address, {'refuse_status': '503 Service Unavailable'})
        call = Call(f'refused by {address}', 'grid-a')
        outcomes.extend(send_all([call], round_robin([daemon]), 1))
        fleet.control(address, {})
    return outcomes


def leaders(fleet: LocalFleet) -> list[str]:
    """Return the address of the leader of each group, its first member."""
    http = urllib3.PoolManager()
    hosts = [host.address for host in fleet.plan.hosts]
    groups = {}
    for address in hosts:
        document = http.request('GET', f'http://{address}/health').json()
        groups.setdefault(document['group'], address)
    return list(groups.values())


@when('callers fill all slots with unary requests and disconnect')
def disconnect_unary(fleet: LocalFleet) -> None:
    with ThreadPoolExecutor(_SLOTS * 4) as pool:
        tasks = [
            pool.submit(send_and_disconnect, fleet) for _ in range(_SLOTS * 4)
        ]
    for task in tasks:
        task.result()


def send_and_disconnect(fleet: LocalFleet) -> None:
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        post(first_daemon(fleet), {'max_tokens': 1000}, timeout_s=1)


def post(
    address: str,
    fields: dict,
    timeout_s: float = 20,
    deadline_s: str = '20',
) -> Any:
    return urllib3.PoolManager(retries=False).request(
        'POST',
        f'http://{address}/v1/completions',
        body=json.dumps({'model': 'drafting', 'prompt': 'x', **fields}),
        headers={
            'Authorization': 'Bearer key-grid-a',
            'X-Timeout-S': deadline_s,
        },
        timeout=timeout_s,
    )


@then('a new request is answered within 5 seconds')
def check_slot_free(fleet: LocalFleet, caller: Caller) -> None:
    outcome = caller.send(first_daemon(fleet), Call('next', 'grid-b'))
    assert outcome.correct
    assert outcome.first_byte_s < 5


@then(
    parsers.parse('"{verdict}" was counted for the callers that disconnected')
)
def check_counts(fleet: LocalFleet, verdict: str) -> None:
    labels = ('grid-a', 'normal', verdict)
    wait_until(
        lambda: counter(fleet, labels) >= _SLOTS,
        'the count of disconnected callers',
    )


def counter(fleet: LocalFleet, labels: tuple[str, ...]) -> int:
    url = f'http://{first_daemon(fleet)}/metrics'
    text = urllib3.PoolManager().request('GET', url).data.decode()
    quoted = ','.join(f'[a-z]+="{label}"' for label in labels)
    pattern = f'cowslipstep_requests_total{{{quoted}}} ([0-9]+)'
    return sum(int(count) for count in re.findall(pattern, text))


@when(
    'requests with a bad key and a large body share a connection',
    target_fixture='statuses',
)
def send_on_one_connection(fleet: LocalFleet) -> list[int]:
    connection = HTTPConnection(first_daemon(fleet))
    bodies = [b' ' * 200_000, b'', b'{"model": 1}']
    statuses = []
    for body in bodies:
        connection.request('POST', '/v1/completions', body)
        statuses.append(read_status(connection))
    connection.request('HEAD', '/healthz')
    statuses.append(read_status(connection))
    connection.request('GET', '/healthz')
    statuses.append(read_status(connection))
    connection.close()
    return statuses


def read_status(connection: HTTPConnection) -> int:
    response = connection.getresponse()
    response.read()
    assert not response.will_close
    return response.status


@then('each of them receives a response on that connection')
def check_statuses(statuses: list[int]) -> None:
    assert statuses == [401, 401, 401, 200, 200]


@when(
    'all slots are taken and a request with a short deadline waits',
    target_fixture='late',
)
def wait_too_long(fleet: LocalFleet) -> Any:
    with ThreadPoolExecutor(_SLOTS * 4) as pool:
        for _ in range(_SLOTS * 4):
            fields = {'max_tokens': 40, 'prompt': 'takes a slot'}
            pool.submit(post, first_daemon(fleet), fields)
        wait_until(lambda: all_slots_taken(fleet), 'all slots taken')
        late = {'prompt': 'too late', 'max_tokens': 1}
        return post(first_daemon(fleet), late, deadline_s='0.3')


def all_slots_taken(fleet: LocalFleet) -> bool:
    """Whether all slots of both groups are taken at the same time."""
    urls = [f'http://{host.address}/health' for host in fleet.plan.hosts]
    responses = [urllib3.PoolManager().request('GET', url) for url in urls]
    running = [response.json()['running'] for response in responses]
    return sum(running) == _SLOTS * 2


@then('its verdict is "not_run" and it never runs')
def check_late(fleet: LocalFleet, late: Any) -> None:
    assert late.json()['error']['verdict'] == 'not_run'
    assert count_runs(fleet, prompt_digest('too late')) == 0
