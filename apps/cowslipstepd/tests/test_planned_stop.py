"""Requests that arrive during a planned stop are refused or answered."""

from __future__ import annotations

import time

import eventlet
import pytest
from _callers import Received
from _green_processes import in_green_process
from _scripted_runners import (
    LAST_CHUNK,
    Pause,
    Script,
    ScriptedRunners,
    Send,
    chunk,
    event,
    response,
    response_head,
)
from _serving_harness import ONCE, PLAIN, STREAM, Harness
from attrs import evolve

from cowslipstep.fleet import RequestKind, Route, WeightedService

GRACE_S = 3
QUICK = (Pause(0.05), Send(response(b'done')))
NEVER = (Pause(60), Send(response(b'late')))
HEAD = Send(response_head('Transfer-Encoding: chunked'))
QUICK_STREAM = (HEAD, Send(chunk(event(0))), Send(LAST_CHUNK))
NO_STREAM = (Pause(60), HEAD)
# On a service without an engine, so that nothing is predicted.
PLAIN_STREAM = evolve(
    STREAM,
    weighted_services=(WeightedService(PLAIN),),
    timeout_s=30,
    resumable=False,
    max_attempts=1,
)
REQUEST = evolve(
    ONCE,
    kind=RequestKind.non_idempotent,
    weighted_services=(WeightedService(PLAIN),),
    timeout_s=30,
)
ROUTES = ((REQUEST, QUICK, NEVER), (PLAIN_STREAM, QUICK_STREAM, NO_STREAM))


def served(harness: Harness, route: Route) -> None:
    """Let a daemon learn how long the requests of a route take."""
    for _ in range(5):
        assert harness.exchange(route).status == 200


def late_in_grace(route: Route, script: Script) -> tuple[list[Received], int]:
    """Return responses on a kept and a new connection, late in the grace."""
    runners = ScriptedRunners(2, script)
    harness = Harness(runners, runners)
    harness.configure(route)
    served(harness, route)
    kept = harness.connect()
    kept.exchange(route)
    runs = len(runners.heads)
    harness.begin_stop(GRACE_S)
    eventlet.sleep(GRACE_S - 0.04)
    received = [kept.exchange(route), harness.connect().exchange(route)]
    return received, len(runners.heads) - runs


# Requests that came late in the grace were passed on, and cut at its end.
@pytest.mark.parametrize(('route', 'quick', '_never'), ROUTES)
def test_request_late_in_grace_is_refused(
    route: Route, quick: Script, _never: Script
) -> None:
    received, runs = in_green_process(late_in_grace, route, quick)
    assert [one.status for one in received] == [503, 503]
    assert not runs


def early_in_stop(route: Route, script: Script) -> list[int]:
    runners = ScriptedRunners(2, script)
    harness = Harness(runners, runners)
    harness.configure(route)
    served(harness, route)
    kept = harness.connect()
    harness.begin_stop(GRACE_S)
    connections = (kept, harness.connect())
    return [one.exchange(route).status for one in connections]


@pytest.mark.parametrize(('route', 'quick', '_never'), ROUTES)
def test_request_that_can_end_in_grace_is_served(
    route: Route, quick: Script, _never: Script
) -> None:
    assert set(in_green_process(early_in_stop, route, quick)) == {200}


def in_progress_at_the_end(
    route: Route, script: Script
) -> tuple[Received, float]:
    """Return what the caller of a request without a response gets."""
    runners = ScriptedRunners(1, script)
    harness = Harness(runners, runners)
    harness.configure(route)
    caller = eventlet.spawn(harness.exchange, route)
    eventlet.sleep(0.5)
    harness.begin_stop(GRACE_S)
    began_s = time.monotonic()
    # A second signal changes nothing.
    harness.server.close()
    harness.server.close()
    assert not harness.server.wait_finished(GRACE_S)
    return caller.wait(), time.monotonic() - began_s


# Requests in progress at the end of the grace were cut without a response.
@pytest.mark.parametrize(('route', '_quick', 'never'), ROUTES)
def test_request_in_progress_is_answered_at_end(
    route: Route, _quick: Script, never: Script
) -> None:
    received, elapsed_s = in_green_process(in_progress_at_the_end, route, never)
    assert received.whole
    assert received.status in {502, 503, 504}
    assert b'may_have_run' in received.body
    assert elapsed_s <= GRACE_S + 0.5
