"""What becomes of a request, and of a runner, after a malformed response."""

from __future__ import annotations

import json
import types
from typing import Any

import pytest
from _callers import Received
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Close,
    Script,
    ScriptedRunners,
    Send,
    chunk,
    event,
    response,
    response_head,
)
from _serving_harness import (
    ONCE,
    REPEATABLE,
    STREAM,
    Case,
    Harness,
    Outcome,
    outcomes,
)
from attrs import evolve, frozen
from loguru import logger

from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.fleet import Route
from cowslipstep.platform import (
    CallHooks,
    PlatformClient,
    PlatformUnavailable,
)

TEXT = b'the whole body'
EVENTS = event(0) + event(1)
STREAM_TYPE = 'Content-Type: text/event-stream'
_MAX_LOGGED = 1000
LENGTH = f'Content-Length: {len(TEXT)}'
CHUNKED = 'Transfer-Encoding: chunked'
DAMAGED = 'X-Damaged'
CHUNKS = chunk(TEXT) + LAST_CHUNK
BROKEN_CHUNKS = chunk(TEXT) + chunk(TEXT)[1:]
DAMAGED_FIELD = f'{DAMAGED}: y'


def malformed(*fields: str, body: bytes = TEXT) -> Script:
    """Return a script that sends these fields and a body.

    The runner keeps its connection open, so that only the daemon can end the
    request.
    """
    head = response_head(*fields, DAMAGED_FIELD)
    return (Send(head), Send(body))


MALFORMED: types.MappingProxyType[str, Script] = types.MappingProxyType(
    {
        'status': (Send(response(TEXT, status='000 X')),),
        'name': malformed(f'{DAMAGED} X: y', LENGTH),
        'control byte': malformed(f'{DAMAGED}\x01: y', LENGTH),
        'line': malformed(f'{DAMAGED}; y', LENGTH),
        'length': malformed('Content-Length: 1O'),
        'coding': malformed('Transfer-Encoding; chunked', body=CHUNKS),
        'two lengths': malformed('Content-Length: 3', LENGTH),
        'length beside chunks': malformed(LENGTH, CHUNKED, body=CHUNKS),
        'chunk': malformed(CHUNKED, body=b'zz\r\nzz\r\n'),
        'second chunk': malformed(CHUNKED, body=BROKEN_CHUNKS),
    }
)
TRUNCATED = (Send(response_head('Content-Length: 99') + TEXT), Close())
SOUND = (Send(response(TEXT)),)
SOUND_STREAM = (Send(response(EVENTS, STREAM_TYPE)),)


def shown(received: Received) -> str:
    """Return all that a caller can see of a response."""
    return f'{received.headers} {received.body!r}'


def logged_outcome(case: Case) -> tuple[Outcome, str]:
    """Return the outcome of a case, and the log of failed attempts."""
    lines: list[str] = []
    logger.add(
        lambda line: lines.append(str(line)),
        level='INFO',
        filter=lambda record: record['message'].startswith('try failed'),
        format='{extra[upstream]} {message}',
    )
    return outcomes(case)[0], ''.join(lines)


# A request that may not repeat has no second attempt, whatever its limit.
@pytest.mark.parametrize(
    'route',
    [evolve(ONCE, max_attempts=3), evolve(STREAM, max_attempts=1)],
    ids=['unary', 'stream'],
)
@pytest.mark.parametrize('name', MALFORMED)
def test_malformed_response_is_an_error(name: str, route: Route) -> None:
    case = Case(route, (MALFORMED[name], SOUND))
    outcome, _ = in_green_process(logged_outcome, case)
    received = outcome.received
    assert (received.status, outcome.runs) == (502, 1)
    assert json.loads(received.body)['error']['verdict'] == 'may_have_run'
    assert DAMAGED not in shown(received)
    assert TEXT.decode() not in shown(received)


@pytest.mark.parametrize('name', MALFORMED)
def test_log_names_runner_and_damaged_bytes(name: str) -> None:
    case = Case(ONCE, (MALFORMED[name],), runners=1)
    _, logged = in_green_process(logged_outcome, case)
    assert logged.startswith('plain-0 try failed')
    assert 'got b' in logged or '000 X' in logged
    # Escaped by each error around them, and bounded.
    assert logged.strip().isprintable()
    assert len(logged) < _MAX_LOGGED


@pytest.mark.parametrize('name', MALFORMED)
def test_malformed_response_is_tried_elsewhere(name: str) -> None:
    cases = (
        Case(REPEATABLE, (MALFORMED[name], SOUND)),
        Case(STREAM, (MALFORMED[name], SOUND_STREAM)),
    )
    plain, stream = in_green_process(outcomes, *cases)
    assert plain.received.response == (200, TEXT, True)
    assert stream.received.response == (200, EVENTS, True)
    assert (plain.runs, stream.runs) == (2, 2)
    assert DAMAGED not in shown(plain.received) + shown(stream.received)


def test_begun_stream_with_malformed_chunk() -> None:
    head = response_head(STREAM_TYPE, CHUNKED)
    broken = (Send(head), Send(chunk(EVENTS)), Send(b'zz\r\n'))
    once = evolve(STREAM, max_attempts=1)
    ended = in_green_process(outcomes, Case(once, (broken,)))
    assert ended[0].received.response == (200, EVENTS, False)
    assert ended[0].runs == 1


@frozen
class RunnerUse:
    """How a faulty runner was used beside a sound one.

    Parameters
    ----------
    statuses
        Statuses that callers got.
    runs
        Requests that reached the faulty runner.
    suspected
        Whether it is suspected at the end.
    """

    statuses: frozenset[int]
    runs: int
    suspected: bool


def uses_of_runners(*scripts: tuple[Script, ...]) -> list[RunnerUse]:
    """Return the use of runners that follow these scripts in turn."""
    return [_use_of_runner(own) for own in scripts]


def _use_of_runner(scripts: tuple[Script, ...]) -> RunnerUse:
    faulty = ScriptedRunners(1, *scripts)
    sound = ScriptedRunners(1, SOUND)
    runners = types.SimpleNamespace(
        addresses=faulty.addresses + sound.addresses
    )
    harness = Harness(runners, runners)
    return RunnerUse(
        frozenset(harness.exchange(REPEATABLE).status for _ in range(100)),
        len(faulty.heads),
        harness.state.suspicions.is_suspected('plain-0'),
    )


def test_runner_of_malformed_ones_is_avoided() -> None:
    scripts = [(script,) for script in (TRUNCATED, *MALFORMED.values())]
    uses = in_green_process(uses_of_runners, *scripts)
    assert {use.statuses for use in uses} == {frozenset((200,))}
    # One that truncates all responses is avoided as well.
    assert all(use.suspected for use in uses)
    assert max(use.runs for use in uses) <= 10


def test_runner_of_a_rare_one_stays_in_use() -> None:
    scripts = [
        (*(SOUND for _ in range(10)), script, SOUND)
        for script in (TRUNCATED, *MALFORMED.values())
    ]
    uses = in_green_process(uses_of_runners, *scripts)
    assert {use.statuses for use in uses} == {frozenset((200,))}
    assert not any(use.suspected for use in uses)
    assert min(use.runs for use in uses) >= 25


def documents_read(*scripts: Script) -> tuple[str, Any]:
    """Return the verdict of a first call to a store, and what a second reads.

    Each connection gets one response, so that a kept one would hang.
    """
    store = ScriptedRunners(1, *scripts)
    hooks = CallHooks(time_limit=call_time_limit)
    client = PlatformClient(store.addresses[0], hooks=hooks)
    verdict = ''
    try:
        client.read_document('hosts', '/hosts')
    except PlatformUnavailable as failure:
        verdict = failure.verdict.code
    return verdict, client.read_document('hosts', '/hosts')


@pytest.mark.parametrize('name', MALFORMED)
def test_store_is_read_again_on_a_new_connection(name: str) -> None:
    sound = (Send(response(b'{"hosts": []}')),)
    read = in_green_process(documents_read, MALFORMED[name], sound)
    assert read == ('may_have_run', {'hosts': []})
