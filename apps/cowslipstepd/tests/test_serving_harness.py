"""Whole responses pass through the serving path of a daemon."""

from __future__ import annotations

import pytest
from _callers import Received
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Script,
    ScriptedRunners,
    Send,
    chunk,
    event,
    refusal,
    response,
    response_head,
)
from _serving_harness import (
    ONCE,
    REPEATABLE,
    STREAM,
    Harness,
)

from cowslipstep.fleet import Route

WHOLE_STREAM = (
    Send(response_head('Transfer-Encoding: chunked')),
    Send(chunk(event(0)) + chunk(event(1))),
    Send(LAST_CHUNK),
)


def exchange(route: Route, *scripts: Script) -> tuple[Received, int]:
    """Return what a caller received, and how many requests runners got."""
    runners = ScriptedRunners(2, *scripts)
    received = Harness(runners, runners).exchange(route)
    return received, len(runners.heads)


@pytest.mark.parametrize('route', [ONCE, REPEATABLE])
def test_whole_response_is_passed_on(route: Route) -> None:
    script = (Send(response(b'done')),)
    received, sent = in_green_process(exchange, route, script)
    assert (received.status, received.body, received.whole, sent) == (
        200,
        b'done',
        True,
        1,
    )


def test_refused_stream_runs_at_the_next_runner() -> None:
    received, sent = in_green_process(
        exchange, STREAM, (Send(refusal()),), WHOLE_STREAM
    )
    assert received.body == event(0) + event(1)
    assert (received.status, received.whole, sent) == (200, True, 2)
