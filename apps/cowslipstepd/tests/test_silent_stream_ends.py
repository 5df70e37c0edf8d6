"""A silent stream ends as its runner, or the one beside it, ends it.

Nothing was left to resume after the last event, so that the stream was cut off
although its runner ended it properly a moment later.
"""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Close,
    Pause,
    Script,
    Send,
    chunk,
    event,
    refusal,
    response_head,
)
from _serving_harness import STREAM, Case, Outcome, outcomes

EVENTS = event(0) + event(1)
WHOLE = (200, EVENTS, True)
CHUNKED_HEAD = response_head('Transfer-Encoding: chunked')
CLOSED_HEAD = response_head('Connection: close')
EMPTY_HEAD = response_head('Content-Length: 0')
NO_CONTENT = response_head(status='204 No Content')
PART = chunk(event(2)[:5])
BEGUN = chunk(event(0) + event(1)[:5])
REST = chunk(event(1)[5:])
SILENCE = Pause(1)
SHORT_SILENCE = Pause(0.2)
# Longer than the timeout of the route.
STALL = Pause(9)
AFTER_LAST_EVENT: Script = (
    Send(CHUNKED_HEAD + chunk(EVENTS)),
    SILENCE,
    Send(LAST_CHUNK),
)
BEFORE_CLOSE: Script = (Send(CLOSED_HEAD + EVENTS), SILENCE, Close())
WITHIN_LAST_EVENT: Script = (
    Send(CHUNKED_HEAD + BEGUN),
    SILENCE,
    Send(REST + LAST_CHUNK),
)
NOTHING_FOLLOWS: Script = (Send(CHUNKED_HEAD + LAST_CHUNK),)
SUBSTITUTES: tuple[Script, ...] = (
    NOTHING_FOLLOWS,
    (Send(CHUNKED_HEAD), SHORT_SILENCE, Send(LAST_CHUNK)),
    (Send(CHUNKED_HEAD), SILENCE, Send(LAST_CHUNK)),
    (Send(EMPTY_HEAD),),
    (Send(CLOSED_HEAD), Close()),
    (Send(CHUNKED_HEAD), Close()),
    (Send(CHUNKED_HEAD + PART), Close()),
    (Send(NO_CONTENT), Close()),
    (Send(refusal()),),
    (Send(CHUNKED_HEAD), STALL),
    (STALL,),
    (Close(),),
)


def received(first: Script, substitute: Script) -> tuple[int, bytes, bool]:
    case = Case(STREAM, (first, substitute))
    outcome: Outcome = in_green_process(outcomes, case)[0]
    return outcome.received.response


@pytest.mark.parametrize('substitute', SUBSTITUTES)
@pytest.mark.parametrize('first', [AFTER_LAST_EVENT, BEFORE_CLOSE])
def test_silence_after_the_last_event(
    first: Script, substitute: Script
) -> None:
    assert received(first, substitute) == WHOLE


# A substitute that had nothing to add ended the stream before an event that
# the silent runner had begun.
def test_begun_event_is_not_given_up() -> None:
    assert received(WITHIN_LAST_EVENT, NOTHING_FOLLOWS) == WHOLE


# The end of a runner looked like the end of the stream that it resumed.
def test_closed_connection_proves_no_end() -> None:
    cut = (Send(CHUNKED_HEAD + chunk(EVENTS)), Close())
    closed = (Send(CLOSED_HEAD), Close())
    assert received(cut, closed) == (200, EVENTS, False)


def test_stalled_stream_ends_if_nothing_follows() -> None:
    stalled = (Send(CHUNKED_HEAD + chunk(EVENTS)), STALL)
    assert received(stalled, NOTHING_FOLLOWS) == WHOLE
