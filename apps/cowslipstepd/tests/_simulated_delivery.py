"""Delivers a stream whose attempts follow scripts, in simulated time."""

from __future__ import annotations

import contextlib
import itertools
import time
import types
from collections.abc import Iterator, Sequence
from typing import Any

import eventlet
import pytest
from _attempt_scripts import Script, ScriptedResponse, respond
from _header_dialect import MODEL
from _serving_harness import STREAM, Harness
from _simulated_time import SimulatedTime
from attrs import frozen

from cowslipstep.fleet import CallerRequest
from cowslipstep.model import Address, RequestError
from cowslipstep.serving import _upstream_sender
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._request_delivery import RequestDelivery

# Longer than the timeout of the route.
_PLAYED_S = 12
REQUEST = CallerRequest(
    'r1',
    STREAM.host,
    'POST',
    f'{STREAM.path_prefix}a',
    (),
    b'{}',
    model=MODEL,
    prompt_tokens=10,
    output_tokens=10,
)


@frozen
class Delivered:
    """What a caller has of a stream, and whether it is framed as complete."""

    events: bytes
    whole: bool


def deliver(
    monkeypatch: pytest.MonkeyPatch, scripts: Sequence[Script]
) -> Delivered:
    """Deliver one stream; each attempt follows the next script."""
    clock = SimulatedTime(monkeypatch)
    # A clock reading of zero stands for never.
    clock.now_s = 1
    left = itertools.chain(scripts, itertools.repeat(scripts[-1]))

    @contextlib.contextmanager
    def open_next(request: Any) -> Iterator[ScriptedResponse]:  # noqa: WPS430
        yield respond(next(left), request)

    monkeypatch.setattr(_upstream_sender, 'open_response', open_next)
    runners: Any = types.SimpleNamespace(
        addresses=[Address('127.0.0.1', 1) for _ in scripts]
    )
    delivery = RequestDelivery(
        Harness(runners, runners).state, RequestMetrics()
    )
    delivered: list[Delivered] = []
    eventlet.spawn(_collect, delivery, delivered)
    clock.run_until(_PLAYED_S)
    return delivered[0]


def _delivery(count: int) -> RequestDelivery:
    addresses = [Address('127.0.0.1', 1) for _ in range(count)]
    runners: Any = types.SimpleNamespace(addresses=addresses)
    return RequestDelivery(Harness(runners, runners).state, RequestMetrics())


def _collect(delivery: RequestDelivery, delivered: list[Delivered]) -> None:
    parts: list[Any] = []
    whole = True
    try:
        for part in delivery.deliver(REQUEST, time.monotonic()):
            parts.append(part)
    except RequestError:
        whole = False
    # The first part is the head.
    delivered.append(Delivered(b''.join(parts[1:]), whole))
