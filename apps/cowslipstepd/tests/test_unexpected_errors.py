"""An error that nobody expected is found in the log by the request's id.

A response that broke off for such an error left no line with the id.
"""

from __future__ import annotations

import json
import types
from collections.abc import Callable
from typing import Any

import pytest
from _green_processes import in_green_process
from _header_dialect import HeaderDialect
from _scripted_runners import (
    LAST_CHUNK,
    Pause,
    Script,
    ScriptedRunners,
    Send,
    chunk,
    event,
    response_head,
)
from _serving_harness import STREAM, Harness
from loguru import logger

from cowslipstep.daemon import _caller_responses
from cowslipstep.daemon._hangup import RECEIVING_CLOSED
from cowslipstep.daemon._http import REQUEST_ID
from cowslipstep.daemon._relay import ResponseHead
from cowslipstep.serving import _request_delivery
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._event_streams import BegunResponse
from cowslipstep.serving._upstream_choice import UpstreamChoice

HEAD = response_head('Transfer-Encoding: chunked')
WHOLE: Script = (Send(HEAD + chunk(event(0)) + LAST_CHUNK),)
SILENT: Script = (
    Send(HEAD + chunk(event(0))),
    Pause(1),
    Send(chunk(event(1)) + LAST_CHUNK),
)
# What is called in each stage of a request before its response begins.
BEFORE: tuple[tuple[Any, str], ...] = (
    (HeaderDialect, 'read'),
    (_request_delivery, 'start_delivery'),
    (UpstreamChoice, 'choose'),
    (HeaderDialect, 'headers'),
    (HeaderDialect, 'response_head'),
    (BegunResponse, 'event_steps'),
    (_request_delivery, 'passed_on'),
    (DeliveryState, 'begin_response'),
)


class Fault(Exception):
    """A fault of the program."""


def fail(*_arguments: Any, **_options: Any) -> Any:
    raise Fault


def fail_later(succeed: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that succeeds once, and fails from then on."""
    calls: list[None] = []

    def call(*arguments: Any, **options: Any) -> Any:  # noqa: WPS430
        calls.append(None)
        if len(calls) > 1:
            raise Fault
        return succeed(*arguments, **options)

    return call


def logged(owner: Any, name: str, fault: Any, script: Script) -> Any:
    """Return what the caller gets, and what is logged with its id."""
    found: list[str] = []
    logger.add(
        lambda line: found.append(str(line.record['exception'].type)),
        filter=lambda record: (
            record['extra'].get('request_id') == 'r1'
            and record['exception'] is not None
        ),
    )
    setattr(owner, name, fault)
    runners = ScriptedRunners(2, script, WHOLE)
    return Harness(runners, runners).exchange(STREAM), found


def logged_before(number: int) -> Any:
    return logged(*BEFORE[number], fail, WHOLE)


@pytest.mark.parametrize('number', range(len(BEFORE)))
def test_error_before_the_response_is_logged(number: int) -> None:
    received, found = in_green_process(logged_before, number)
    assert received.status == 500
    verdict = json.loads(received.body)['error']['verdict']
    assert (verdict, len(found)) == ('may_have_run', 1)


def logged_within() -> Any:
    later = fail_later(_request_delivery.passed_on)
    return logged(_request_delivery, 'passed_on', later, SILENT)


def logged_beside() -> Any:
    later = fail_later(HeaderDialect.headers)
    return logged(HeaderDialect, 'headers', later, SILENT)


def test_error_within_the_response_is_logged() -> None:
    received, found = in_green_process(logged_within)
    assert received.response == (200, event(0), False)
    assert len(found) == 1


# The silent attempt goes on whatever becomes of the one beside it.
def test_error_beside_a_silent_attempt_is_logged() -> None:
    received, found = in_green_process(logged_beside)
    assert received.response == (200, event(0) + event(1), True)
    assert len(found) == 1


def relayed(*parts: Any) -> Any:
    """Respond on the product's own path, then fail."""

    def respond() -> Any:  # noqa: WPS430
        yield from parts
        raise Fault

    environ = {REQUEST_ID: 'r1', RECEIVING_CLOSED: True}
    start = types.SimpleNamespace(response=lambda *_head: None).response
    return _caller_responses.begin_response(respond(), environ, start)


def test_error_on_the_own_path_is_logged() -> None:
    found: list[str] = []
    sink = logger.add(
        lambda line: found.append(line.record['extra']['request_id']),
        level='ERROR',
    )
    head = ResponseHead(200, 'text/event-stream')
    with pytest.raises(Fault):
        list(relayed(head, b'event'))
    logger.remove(sink)
    assert found == ['r1']


def test_response_without_a_head_is_an_error() -> None:
    environ = {REQUEST_ID: 'r1', RECEIVING_CLOSED: True}
    with pytest.raises(TypeError):
        _caller_responses.begin_response(iter(()), environ, fail)
