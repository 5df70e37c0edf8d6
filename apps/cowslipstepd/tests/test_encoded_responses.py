"""A body with a content coding is not the runner's: no request accepts one."""

from __future__ import annotations

import gzip
import json

import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Script,
    Send,
    chunk,
    event,
    response,
    response_head,
)
from _serving_harness import ONCE, REPEATABLE, STREAM, Case, Outcome, outcomes
from attrs import evolve

from cowslipstep.fleet import Route

TEXT = b'the whole body'
EVENTS = event(0) + event(1)
CHUNKED = 'Transfer-Encoding: chunked'
CODED = 'Content-Encoding: gzip'
FAILED = '500 Internal Server Error'
ENCODED: tuple[Script, ...] = (
    (Send(response(gzip.compress(TEXT), CODED)),),
    (Send(response(TEXT, 'content-ENCODING: identity')),),
    (Send(response(TEXT, CODED, 'Connection: content-encoding')),),
    (Send(response(TEXT, CODED, status=FAILED)),),
    (Send(response_head(CODED, CHUNKED) + chunk(EVENTS) + LAST_CHUNK),),
)
BEGUN = response_head(CHUNKED) + chunk(event(0))
CUT = (Send(BEGUN), Send(b'zz\r\n'))
SOUND = (Send(response(TEXT)),)
SOUND_STREAM = (Send(response(EVENTS)),)


def outcome_of(case: Case) -> Outcome:
    outcome: Outcome = in_green_process(outcomes, case)[0]
    return outcome


# Callers got a body with a coding that they had not asked for, as a success.
@pytest.mark.parametrize(
    'route',
    [ONCE, evolve(STREAM, max_attempts=1)],
    ids=['unary', 'stream'],
)
@pytest.mark.parametrize('encoded', ENCODED)
def test_encoded_response_is_an_error(encoded: Script, route: Route) -> None:
    outcome = outcome_of(Case(route, (encoded, SOUND)))
    received = outcome.received
    assert (received.status, outcome.runs) == (502, 1)
    assert json.loads(received.body)['error']['verdict'] == 'may_have_run'


@pytest.mark.parametrize('encoded', ENCODED)
def test_repeatable_request_goes_on_elsewhere(encoded: Script) -> None:
    ended = in_green_process(
        outcomes,
        Case(REPEATABLE, (encoded, SOUND)),
        Case(STREAM, (encoded, SOUND_STREAM)),
    )
    assert [outcome.received.response for outcome in ended] == [
        (200, TEXT, True),
        (200, EVENTS, True),
    ]


def test_encoded_refusal_is_not_run() -> None:
    busy = response(b'x', CODED, 'Not-Run: 1', status='503 Busy')
    outcome = outcome_of(Case(ONCE, ((Send(busy),),)))
    assert outcome.received.status == 503
    assert json.loads(outcome.received.body)['error']['verdict'] == 'not_run'


def test_encoded_events_resume_no_stream() -> None:
    resumed = (Send(response(gzip.compress(event(1)), CODED)),)
    outcome = outcome_of(Case(STREAM, (CUT, resumed)))
    assert outcome.received.response == (200, event(0), False)
