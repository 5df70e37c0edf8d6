"""A sound runner falls silent for a while and goes on; nothing is lost."""

from __future__ import annotations

import contextlib
import itertools
import types
from collections.abc import Callable

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
    refusal,
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
from attrs import evolve

from cowslipstep.fleet import RequestKind, Route

Moment = Callable[[float], Script]
SILENCES_S = (1, 1.25, 1.5)
EVENTS = event(0) + event(1) + event(2)
STREAM_HEAD = response_head('Transfer-Encoding: chunked')
BUSY = (Send(refusal()),)
GENERATION = evolve(STREAM, kind=RequestKind.idempotent)
# Longer than the timeout of the route.
STALL_S = 9
# More requests than the slots of a runner.
FULL_REQUESTS = 40


def before_head(silence_s: float) -> Script:
    whole = STREAM_HEAD + chunk(EVENTS) + LAST_CHUNK
    return (Pause(silence_s), Send(whole))


def before_first_event(silence_s: float) -> Script:
    return (
        Send(STREAM_HEAD),
        Pause(silence_s),
        Send(chunk(EVENTS) + LAST_CHUNK),
    )


def between_events(silence_s: float) -> Script:
    return (
        Send(STREAM_HEAD + chunk(event(0))),
        Pause(silence_s),
        Send(chunk(event(1) + event(2)) + LAST_CHUNK),
    )


def within_event(silence_s: float) -> Script:
    return (
        Send(STREAM_HEAD + chunk(EVENTS[:5])),
        Pause(silence_s),
        Send(chunk(EVENTS[5:]) + LAST_CHUNK),
    )


def after_last_event(silence_s: float) -> Script:
    return (
        Send(STREAM_HEAD + chunk(EVENTS)),
        Pause(silence_s),
        Send(LAST_CHUNK),
    )


MOMENTS = (
    before_head,
    before_first_event,
    between_events,
    within_event,
    after_last_event,
)
# Events that the caller has when the silence begins, if any.
BEGUN = types.MappingProxyType({between_events: 1, after_last_event: 3})


def responses(ended: list[Outcome]) -> set[tuple[int, bytes, bool]]:
    return {outcome.received.response for outcome in ended}


@pytest.mark.parametrize('moment', MOMENTS)
@pytest.mark.parametrize('runners', [1, 3])
def test_silent_stream_goes_on_without_others(
    moment: Moment, runners: int
) -> None:
    cases = [
        Case(STREAM, (moment(silence_s), BUSY), runners)
        for silence_s in SILENCES_S
    ]
    ended = in_green_process(outcomes, *cases)
    assert responses(ended) == {(200, EVENTS, True)}


@pytest.mark.parametrize('moment', MOMENTS)
def test_silent_stream_goes_on_beside_another(moment: Moment) -> None:
    scripts = moment(SILENCES_S[0]), (Pause(STALL_S),)
    ended = in_green_process(outcomes, Case(STREAM, scripts))
    assert responses(ended) == {(200, EVENTS, True)}


@pytest.mark.parametrize('moment', MOMENTS)
def test_another_runner_replaces_a_stalled_one(moment: Moment) -> None:
    left = range(BEGUN.get(moment, 0), 3)
    rest = b''.join(map(event, left))
    resumed = (Send(STREAM_HEAD + chunk(rest) + LAST_CHUNK),)
    ended = in_green_process(outcomes, Case(STREAM, (moment(STALL_S), resumed)))
    assert responses(ended) == {(200, EVENTS, True)}


def with_full_runners(script: Script) -> Received:
    """Return what is received while all runners but one are full."""
    runners = ScriptedRunners(3, script, BUSY)
    harness = Harness(runners, ScriptedRunners(0))
    own = harness.state.loads.own
    with contextlib.ExitStack() as requests:
        for name in FULL_REQUESTS * ('engine-1', 'engine-2'):
            requests.enter_context(own.counted(name))
            requests.enter_context(own.waiting(name, 0))
            requests.enter_context(own.waiting(name, 5))
        return harness.exchange(STREAM)


@pytest.mark.parametrize('moment', MOMENTS)
def test_silent_stream_goes_on_if_others_are_full(moment: Moment) -> None:
    script = moment(SILENCES_S[1])
    received = in_green_process(with_full_runners, script)
    assert received.response == (200, EVENTS, True)


def silent_response(cut: int, silence_s: float) -> Script:
    whole = response(b'done')
    begun = Send(whole[:cut])
    return begun, Pause(silence_s), Send(whole[cut:])


def silent_cases(route: Route, runners: int) -> list[Case]:
    # Before the head, within it, and within the body.
    moments = itertools.product((0, 5, -2), SILENCES_S)
    scripts = itertools.starmap(silent_response, moments)
    return [Case(route, (script, BUSY), runners) for script in scripts]


@pytest.mark.parametrize(
    'route',
    [ONCE, REPEATABLE, evolve(REPEATABLE, timeout_s=2)],
    ids=['once', 'quotes', 'short-quotes'],
)
@pytest.mark.parametrize('runners', [1, 3])
def test_silent_unary_response_goes_on(route: Route, runners: int) -> None:
    ended = in_green_process(outcomes, *silent_cases(route, runners))
    assert responses(ended) == {(200, b'done', True)}


# A stalled substitute kept a sound response from being read.
@pytest.mark.parametrize('cut', [5, -2], ids=['head', 'body'])
def test_response_goes_on_beside_a_stalled_one(cut: int) -> None:
    stalled = (Send(response(b'done')[:cut]), Pause(STALL_S))
    scripts = silent_response(0, SILENCES_S[0]), stalled
    ended = in_green_process(outcomes, Case(GENERATION, scripts))
    assert responses(ended) == {(200, b'done', True)}
    # Time is left when the substitute is given up.
    assert ended[0].received.elapsed_s < 0.8 * GENERATION.timeout_s


# The error of a substitute replaced the response of a sound runner.
def test_error_does_not_replace_a_silent_response() -> None:
    error = (Send(response(b'failed', status='500 Internal Server Error')),)
    whole = Case(GENERATION, (silent_response(0, 1), error))
    in_parts = Case(STREAM, (before_first_event(1), error))
    ended = in_green_process(outcomes, whole, in_parts)
    assert responses(ended) == {(200, b'done', True), (200, EVENTS, True)}


def test_silence_does_not_repeat_a_request() -> None:
    ended = in_green_process(outcomes, *silent_cases(ONCE, 3))
    assert {outcome.runs for outcome in ended} == {1}
