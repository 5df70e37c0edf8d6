"""What a caller gets of each step of a response."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.fleet import ResponseHead
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._response_steps import (
    ResponseEnd,
    ResponseStep,
    StreamedEvents,
    WholeResponse,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream

ResponsePart = ResponseHead | bytes


def passed_on(
    state: ServingState,
    delivery: DeliveryState,
    chosen: ChosenUpstream,
    step: ResponseStep,
) -> Iterator[ResponsePart]:
    """Yield the head and body parts of a step, and record what it shows."""
    match step:
        case WholeResponse(head, body):
            if head.succeeded:
                state.harmful_prompts.clear(delivery.routed.request)
            delivery.begin_response(head)
            yield head
            yield body
        case StreamedEvents(head, events):
            _record_events(state, delivery, chosen, step)
            if not delivery.response_begun:
                delivery.begin_response(head)
                yield head
            yield events
        case ResponseEnd():
            return


def _record_events(
    state: ServingState,
    delivery: DeliveryState,
    chosen: ChosenUpstream,
    streamed: StreamedEvents,
) -> None:
    state.suspicions.clear(chosen.runner.name)
    if streamed.is_first:
        state.harmful_prompts.clear(delivery.routed.request)
    delivery.progress = streamed.progress
    delivery.timer.record_events(streamed.start, delivery.now_s)
