"""When a stream counts as silent: sound ones go on, others take over."""

from __future__ import annotations

import contextlib
import time
import types
from collections.abc import Iterator

import eventlet
import pytest
from _route_cases import ROUTE
from _sender_state import attempts_of, sender_state
from attrs import evolve

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import (
    CallerRequest,
    DiscoveredRunner,
    RequestKind,
    Route,
)
from cowslipstep.model import Address, MayHaveRun, Reason
from cowslipstep.routing import RoutedRequest
from cowslipstep.serving import _upstream_sender
from cowslipstep.serving._attempts import TakenOver
from cowslipstep.serving._delivery_state import DeliveryState, start_delivery
from cowslipstep.serving._response_steps import ResponseStep, StreamedEvents
from cowslipstep.serving._upstream_choice import ChosenUpstream

# A stream is silent after twice its longest planned pause, 0.4 s at least.
STREAM = evolve(
    ROUTE, kind=RequestKind.streaming, max_attempts=2, max_gap_s=0.1
)
RESUMABLE = evolve(STREAM, resumable=True)
RUNNER = DiscoveredRunner('r', 'drafting', Address('127.0.0.1', 1), 'n', 1)
EVENT = b'id: 0\ndata: a\n\n'
NEXT_EVENT = b'id: 1\ndata: b\n\n'


def event_then_bytes() -> Iterator[tuple[float, bytes]]:
    yield 0, EVENT
    while True:
        yield 0.05, b'i'


class ScriptedResponse:
    """A response whose bytes come at set times, in seconds."""

    status = 200
    headers = ()
    content_coding = ''

    def __init__(self, script: Iterator[tuple[float, bytes]]) -> None:
        self._script = script

    def read_chunk(self, timeout_s: float, silence) -> bytes:
        """Return the next bytes if they come within the timeout."""
        pause_s, chunk = next(self._script, (0, b''))
        # Bytes that have arrived can be read after the timeout.
        timeout_s = max(0.001, timeout_s)
        if pause_s > silence.after_s:
            silence.on_silence()
        with silence.interruption.allowed():
            eventlet.sleep(min(pause_s, timeout_s))
        if pause_s > timeout_s:
            raise UpstreamFailure(MayHaveRun(Reason.upstream_timeout), 'silent')
        return chunk


def send(monkeypatch, route, script, timeout_s: float = 3) -> list:
    """Return the parts of the body that reach the caller.

    Another upstream responds with the next event at once if it is asked.
    """
    scripts = iter((script, [(0, NEXT_EVENT)]))

    @contextlib.contextmanager
    def open_response(_request):  # noqa: WPS430
        yield ScriptedResponse(iter(next(scripts)))

    monkeypatch.setattr(_upstream_sender, 'open_response', open_response)
    chosen = ChosenUpstream(RUNNER, timeout_s)
    steps = begin_attempt(new_delivery(route, timeout_s), chosen)
    return [step.events for step in steps if isinstance(step, StreamedEvents)]


def begin_attempt(
    delivery: DeliveryState, chosen: ChosenUpstream
) -> Iterator[ResponseStep]:
    choice = types.SimpleNamespace(choose=lambda _delivery: chosen)
    attempts = attempts_of(sender_state(), choice)
    return attempts.begin(delivery, chosen).all_steps()


def new_delivery(route: Route, timeout_s: float) -> DeliveryState:
    request = CallerRequest('i', 'h', 'POST', '/', (), b'', timeout_s=timeout_s)
    routed = RoutedRequest(request, route, '', 0, 'drafting')
    return start_delivery(routed, time.monotonic())


def test_slow_stream_without_resumption_goes_on(monkeypatch) -> None:
    script = [(0, EVENT), (0.8, EVENT), (0.8, EVENT)]
    assert send(monkeypatch, STREAM, script) == [EVENT, EVENT, EVENT]


def test_bytes_without_event_do_not_end_silence(monkeypatch) -> None:
    began_s = time.monotonic()
    with pytest.raises(TakenOver):
        send(monkeypatch, RESUMABLE, event_then_bytes(), timeout_s=30)
    assert time.monotonic() - began_s < 3


def test_bytes_without_event_end_at_the_deadline(monkeypatch) -> None:
    with pytest.raises(UpstreamFailure):
        send(monkeypatch, STREAM, event_then_bytes(), timeout_s=0.5)


@pytest.mark.parametrize('chunk', [EVENT, b'x' * 65536])
def test_endless_stream_ends(monkeypatch, chunk: bytes) -> None:
    script = iter(lambda: (0, chunk), None)
    with pytest.raises(UpstreamFailure):
        send(monkeypatch, STREAM, script, timeout_s=0.5)


# A stream that had begun as a trial was resumed at idle upstreams only.
def test_trial_binds_only_its_first_attempt() -> None:
    delivery = new_delivery(RESUMABLE, 3)
    delivery.is_trial = True
    delivery.needs_idle_upstream = True
    state = sender_state()
    state.harmful_prompts.begin_trial = bool
    choice = types.SimpleNamespace(choose=lambda _delivery: None)
    attempts = attempts_of(state, choice)
    attempts.begin(delivery, ChosenUpstream(RUNNER, 3))
    assert not (delivery.is_trial or delivery.needs_idle_upstream)
