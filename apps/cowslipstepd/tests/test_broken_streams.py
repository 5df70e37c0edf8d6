"""A stream breaks off after it has begun, or ends with its connection."""

from __future__ import annotations

import itertools
from types import MappingProxyType

import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Close,
    Pause,
    Reset,
    Send,
    Step,
    chunk,
    event,
    refusal,
    response,
    response_head,
)
from _serving_harness import ONCE, STREAM, Case, Outcome, outcomes

EVENT_STREAM = 'Content-Type: text/event-stream'
CHUNKED_HEAD = response_head(EVENT_STREAM, 'Transfer-Encoding: chunked')
LENGTH_HEAD = response_head(EVENT_STREAM, 'Content-Length: 900')
# The body ends with the connection.
OPEN_HEAD = response_head(EVENT_STREAM)
SENT = event(0) + event(1)
PARTIAL = event(2)[:-3]
# Until after the end of a case: the runner keeps its connection open.
LONG_S = 9
BEGUN = Send(CHUNKED_HEAD + chunk(SENT))
# Streams that break off after two events.
BROKEN = (
    (Send(CHUNKED_HEAD + chunk(SENT)), Close()),
    (Send(CHUNKED_HEAD + chunk(SENT)), Reset()),
    (Send(CHUNKED_HEAD + chunk(SENT + PARTIAL)), Close()),
    (Send(CHUNKED_HEAD + chunk(SENT + PARTIAL)), Reset()),
    (Send(CHUNKED_HEAD + chunk(SENT + PARTIAL) + LAST_CHUNK),),
    (Send(LENGTH_HEAD + SENT), Close()),
    (Send(LENGTH_HEAD + SENT + PARTIAL), Close()),
    (Send(OPEN_HEAD + SENT), Reset()),
    (Send(OPEN_HEAD + SENT + PARTIAL), Close()),
    (Send(OPEN_HEAD + SENT + PARTIAL), Reset()),
    # Bytes that are no chunks, or no trailers.
    (BEGUN, Send(b'zz\r\n'), Pause(LONG_S)),
    (BEGUN, Send(b'3\r\nid:xx'), Pause(LONG_S)),
    (BEGUN, Send(b'0\r\nX Y: z\r\n\r\n')),
    (BEGUN, Send(b'0\r\n'), Close()),
)
FAILED = '500 Internal Server Error'
TEXT = b'out of memory'
# Ends like an event of a stream.
PARAGRAPH = b'id: 9\ndata: out of memory\n\n'
JSON = 'Content-Type: application/json'
PLAIN_TEXT = 'Content-Type: text/plain'
UNSIGNED = b'HTTP/1.1 %b\r\nContent-Length: 27\r\n\r\n%b'
# Responses that do not resume a stream.
ERRORS = MappingProxyType(
    {
        'error': (Send(response(TEXT, status=FAILED)),),
        'error like an event': (Send(response(PARAGRAPH, status=FAILED)),),
        'error stream': (
            Send(response(PARAGRAPH, EVENT_STREAM, status=FAILED)),
        ),
        'error without length': (
            Send(response_head(status=FAILED) + PARAGRAPH),
            Close(),
        ),
        'error reset': (
            Send(response_head(status=FAILED) + PARAGRAPH),
            Reset(),
        ),
        'unsigned error': (Send(UNSIGNED % (FAILED.encode(), PARAGRAPH)),),
        'unsigned success': (Send(UNSIGNED % (b'200 OK', PARAGRAPH)),),
        'client error': (Send(response(PARAGRAPH, status='400 Bad Request')),),
        'refusal': (Send(refusal()),),
        'json': (Send(response(b'{}', JSON)),),
        'json like an event': (Send(response(b'{}\n\n', JSON)),),
        'text': (Send(response(TEXT, PLAIN_TEXT)),),
        'text like an event': (Send(response(PARAGRAPH, PLAIN_TEXT)),),
        'empty text': (Send(response(b'', PLAIN_TEXT)),),
        'no content': (
            Send(response_head(PLAIN_TEXT, status='204 No Content')),
            Close(),
        ),
        'cut status line': (Send(b'HTTP/1.1 200 O'), Close()),
        'cut after status line': (Send(b'HTTP/1.1 200 OK\r\n'), Close()),
        'cut head': (Send(OPEN_HEAD[:-2]), Close()),
        'cut header': (Send(OPEN_HEAD[:-6]), Close()),
        'cut chunked head': (Send(CHUNKED_HEAD[:-6]), Close()),
        'no response': (Close(),),
        'reset': (Reset(),),
        'no HTTP': (Send(b'\x00\x01\r\n%b' % PARAGRAPH), Close()),
        'no field': (
            Send(response(PARAGRAPH, 'X Y: z', EVENT_STREAM)),
            Close(),
        ),
        'no length': (
            Send(response_head(EVENT_STREAM, 'Content-Length: x') + PARAGRAPH),
            Close(),
        ),
        'no coding': (
            Send(
                response_head(EVENT_STREAM, 'Transfer-Encoding; chunked')
                + chunk(PARAGRAPH)
                + LAST_CHUNK
            ),
            Close(),
        ),
    }
)


def responses(ended: list[Outcome]) -> set[tuple[int, bytes, bool]]:
    return {outcome.received.response for outcome in ended}


@pytest.mark.parametrize('error', ERRORS)
def test_error_does_not_continue_a_stream(error: str) -> None:
    cases = [Case(STREAM, (broken, ERRORS[error])) for broken in BROKEN]
    ended = in_green_process(outcomes, *cases)
    assert responses(ended) == {(200, SENT, False)}


@pytest.mark.parametrize('broken', BROKEN)
def test_broken_stream_goes_on_at_the_next_runner(
    broken: tuple[Step, ...],
) -> None:
    rest = event(2) + event(3)
    resumed = [
        (Send(CHUNKED_HEAD + chunk(rest) + LAST_CHUNK),),
        (Send(OPEN_HEAD + rest), Close()),
        (Send(response(rest, EVENT_STREAM)),),
    ]
    cases = [Case(STREAM, (broken, script)) for script in resumed]
    ended = in_green_process(outcomes, *cases)
    assert responses(ended) == {(200, SENT + rest, True)}
    for outcome in ended:
        assert b'Last-Event-Id: 1' in outcome.heads[1]


# Events came twice from a runner that ran a broken stream from its start.
def test_restart_does_not_continue_a_stream() -> None:
    restarts = [
        (Send(response(events, EVENT_STREAM)),)
        for events in (SENT + event(2), event(1) + event(2))
    ]
    cases = [
        Case(STREAM, scripts) for scripts in itertools.product(BROKEN, restarts)
    ]
    ended = in_green_process(outcomes, *cases)
    assert responses(ended) == {(200, SENT, False)}


def test_stream_may_end_with_its_connection() -> None:
    whole = (Send(OPEN_HEAD + SENT), Close())
    in_parts = (Send(OPEN_HEAD), Pause(0.1), Send(SENT), Close())
    cases = (Case(STREAM, (whole,)), Case(STREAM, (in_parts,)))
    ended = in_green_process(outcomes, *cases)
    assert responses(ended) == {(200, SENT, True)}
    assert {outcome.runs for outcome in ended} == {1}


@pytest.mark.parametrize(
    'empty',
    [
        (Send(OPEN_HEAD), Close()),
        (Send(OPEN_HEAD), Pause(0.1), Close()),
        (Send(CHUNKED_HEAD + LAST_CHUNK),),
        (Send(response(b'', EVENT_STREAM)),),
    ],
)
def test_stream_without_events_is_no_success(empty: tuple[Step, ...]) -> None:
    # A runner that ends after its head passed for an empty, complete stream.
    whole = (Send(OPEN_HEAD + SENT), Close())
    cases = (Case(STREAM, (empty,)), Case(STREAM, (empty, whole)))
    ended = in_green_process(outcomes, *cases)
    assert ended[0].received.status == 502
    assert ended[1].received.response == (200, SENT, True)


def test_body_may_end_with_its_connection() -> None:
    script = (Send(response_head() + TEXT), Close())
    ended = in_green_process(outcomes, Case(ONCE, (script,)))
    assert responses(ended) == {(200, TEXT, True)}


def test_reset_body_is_no_success() -> None:
    script = (Send(response_head() + TEXT), Reset())
    ended = in_green_process(outcomes, Case(ONCE, (script,)))
    assert ended[0].received.status == 502
