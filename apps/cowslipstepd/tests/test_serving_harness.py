"""Whole responses pass through the serving path of a daemon."""

from __future__ import annotations

import pytest
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Send,
    chunk,
    event,
    refusal,
    response,
    response_head,
)
from _serving_harness import ONCE, REPEATABLE, STREAM, Case, outcomes

from cowslipstep.fleet import Route

EVENTS = event(0) + event(1)
WHOLE_STREAM = (
    Send(response_head('Transfer-Encoding: chunked')),
    Send(chunk(EVENTS)),
    Send(LAST_CHUNK),
)


@pytest.mark.parametrize('route', [ONCE, REPEATABLE])
def test_whole_response_is_passed_on(route: Route) -> None:
    case = Case(route, ((Send(response(b'done')),),))
    outcome = in_green_process(outcomes, case)[0]
    assert outcome.received.response == (200, b'done', True)
    assert outcome.runs == 1


def test_refused_stream_runs_at_the_next_runner() -> None:
    case = Case(STREAM, ((Send(refusal()),), WHOLE_STREAM))
    outcome = in_green_process(outcomes, case)[0]
    assert outcome.received.response == (200, EVENTS, True)
    assert outcome.runs == 2
