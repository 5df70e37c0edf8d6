"""Steps of the feature on the path from a caller to a group and back."""

from __future__ import annotations

import json
import time
from types import MappingProxyType
from typing import Any

import pytest
import urllib3
from attrs import frozen
from pytest_bdd import given, parsers, scenarios, then, when

from cowslipstep_standins._caller import Caller
from cowslipstep_standins._fleet import LocalFleet
from cowslipstep_standins._generation import prompt_digest
from cowslipstep_standins._outcomes import Call, Outcome
from cowslipstep_standins._processes import wait_until
from cowslipstep_standins._records import engine_runs
from cowslipstep_standins.load import mixed_calls, round_robin, send_all

scenarios('end_to_end.feature')

_COMPLETIONS_PATH = '/v1/completions'


@frozen
class RawRequest:
    """Body, headers and path of a request, valid by default."""

    body: bytes = b'{"model": "drafting", "prompt": "hello"}'
    key: str = 'Bearer key-grid-a'
    rank: str = 'normal'
    path: str = _COMPLETIONS_PATH


MISTAKES = MappingProxyType(
    {
        'a bad key': RawRequest(key='Bearer nobody'),
        'no key': RawRequest(key=''),
        'bad JSON': RawRequest(b'{"model": '),
        'a JSON list': RawRequest(b'[1]'),
        'no prompt': RawRequest(b'{"model": "drafting"}'),
        'a negative max_tokens': RawRequest(
            b'{"model": "drafting", "prompt": "hello", "max_tokens": -1}',
        ),
        'an oversized body': RawRequest(b' ' * 2_000_000),
        'an unknown model': RawRequest(
            b'{"model": "other", "prompt": "hello"}'
        ),
        'an unknown rank': RawRequest(rank='zzz'),
        'an unknown service': RawRequest(path='/services/none/x'),
        'an unknown path': RawRequest(path='/v2/completions'),
    }
)


def _open(address: str, request: RawRequest, timeout_s: float = 20) -> Any:
    return urllib3.PoolManager(retries=False).request(
        'POST',
        f'http://{address}{request.path}',
        body=request.body,
        headers={'Authorization': request.key, 'X-Rank': request.rank},
        preload_content=False,
        timeout=timeout_s,
    )


def _open_stream(fleet: LocalFleet, prompt: str, tokens: int) -> Any:
    body = {
        'model': 'drafting',
        'prompt': prompt,
        'max_tokens': tokens,
        'stream': True,
    }
    request = RawRequest(json.dumps(body).encode())
    return _open(fleet.plan.daemons[0].http, request)


@given('a small fleet', target_fixture='fleet')
def given_fleet(small_fleet: LocalFleet) -> LocalFleet:
    return small_fleet


@when(
    parsers.parse(
        '{count:d} requests of all kinds are sent to both daemons',
    ),
    target_fixture='outcomes',
)
def send_mixed(fleet: LocalFleet, count: int) -> list[Outcome]:
    calls = mixed_calls(count, fleet.plan.shape.workspaces, seed=7)
    daemons = [daemon.http for daemon in fleet.plan.daemons]
    return send_all(calls, round_robin(daemons), concurrency=6)


@then('each response is complete and belongs to its caller')
def check_responses(outcomes: list[Outcome]) -> None:
    wrong = [outcome for outcome in outcomes if not outcome.correct]
    assert not wrong


@when(
    parsers.parse('a stream of {tokens:d} tokens is read chunk by chunk'),
    target_fixture='arrivals',
)
def read_stream(fleet: LocalFleet, tokens: int) -> list[float]:
    response = _open_stream(fleet, 'chunk by chunk', tokens)
    arrivals = [time.monotonic()]
    while response.read1(65536):
        arrivals.append(time.monotonic())
    return arrivals


@then("its first token arrives before half of the stream's duration")
def check_first_token(arrivals: list[float]) -> None:
    assert len(arrivals) > 20
    first_s = arrivals[1] - arrivals[0]
    assert first_s < (arrivals[-1] - arrivals[0]) / 2


@when(
    parsers.parse('a request with {mistake} is sent'),
    target_fixture='response',
)
def send_mistake(fleet: LocalFleet, mistake: str) -> Any:
    return _open(fleet.plan.daemons[0].http, MISTAKES[mistake])


@then(
    parsers.parse(
        'the response is a {status:d} error "{code}" with verdict "{verdict}"',
    ),
)
def check_error(response: Any, status: int, code: str, verdict: str) -> None:
    error = json.loads(response.read())['error']
    assert (response.status, error['code']) == (status, code)
    assert error['verdict'] == verdict
    assert error['message']


@when(
    parsers.parse(
        'callers with streams of {tokens:d} tokens disconnect early',
    ),
)
def disconnect_early(fleet: LocalFleet, tokens: int) -> None:
    for index in range(fleet.plan.shape.slots * 2):
        response = _open_stream(fleet, f'disconnected {index}', tokens)
        response.read1(64)
        response.close()


@then('the engine cancels their runs')
def check_cancelled(fleet: LocalFleet) -> None:
    digests = {prompt_digest(f'disconnected {index}') for index in range(4)}
    wait_until(
        lambda: _outcomes(fleet, digests) == {'cancelled'},
        'the runs of disconnected callers are cancelled',
        timeout_s=10,
    )


def _outcomes(fleet: LocalFleet, digests: set[str]) -> set[str]:
    runs = [run for run in engine_runs(fleet) if run['digest'] in digests]
    return {run['outcome'] for run in runs}


@then(parsers.parse('a new request is answered within {seconds:d} seconds'))
def check_slot_free(fleet: LocalFleet, caller: Caller, seconds: int) -> None:
    outcome = caller.send(
        fleet.plan.daemons[1].http,
        Call('after the disconnects', 'grid-b'),
    )
    assert outcome.correct
    assert outcome.first_byte_s < seconds


@when('both slots are taken and a third caller disconnects while it waits')
def disconnect_waiting(fleet: LocalFleet) -> None:
    running = [
        _open_stream(fleet, f'takes slot {index}', 400) for index in range(2)
    ]
    for response in running:
        response.read1(64)
    waiting = RawRequest(b'{"model": "drafting", "prompt": "never runs"}')
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        _open(fleet.plan.daemons[0].http, waiting, timeout_s=0.5)
    for response in running:
        response.read()


@then('the engine never runs the third request')
def check_never_ran(fleet: LocalFleet, caller: Caller) -> None:
    for daemon in fleet.plan.daemons:
        assert caller.send(daemon.http, Call('drains', 'grid-a')).correct
    digests = {run['digest'] for run in engine_runs(fleet)}
    assert prompt_digest('never runs') not in digests
