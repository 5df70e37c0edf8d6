"""One attempt of a request at an upstream."""

from __future__ import annotations

import contextlib
import functools
import itertools
import time
from collections.abc import Callable, Iterator

from attrs import evolve

from cowslipstep.daemon._read_limits import Silence
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import ResponseHead, UpstreamRequest
from cowslipstep.model import MayHaveRun, Reason
from cowslipstep.serving._backoff_refusals import raise_if_backed_off
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._event_streams import EventStream, first_events_of
from cowslipstep.serving._request_log import log_backoff
from cowslipstep.serving._response_checks import (
    raise_for_head,
    raise_if_encoded,
    raise_unless_continued,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream
from cowslipstep.serving._upstream_http import (
    HttpRequest,
    OpenResponse,
    open_response,
)

ResponsePart = ResponseHead | bytes


def fail_on_silence() -> float:
    """End an attempt whose upstream is silent.

    Raises
    ------
    UpstreamFailure
        Always.
    """
    raise UpstreamFailure(
        MayHaveRun(Reason.upstream_timeout), 'the upstream is silent'
    )


class UpstreamSender:
    """Sends requests to upstreams and passes their responses on.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: ServingState) -> None:
        self._state = state
        self._dialect = state.dialects.requests

    def send(
        self,
        delivery: DeliveryState,
        chosen: ChosenUpstream,
        on_silence: Callable[[], float] = fail_on_silence,
    ) -> Iterator[ResponsePart]:
        """Yield the head and body parts of one attempt's response.

        Parameters
        ----------
        delivery
            The request.
        chosen
            The upstream.
        on_silence
            Called while the upstream is silent, see ``Silence``. The response
            goes on after it returns.

        Raises
        ------
        UpstreamFailure
            If the upstream refuses or fails the request, or the response is
            incomplete.
        """
        sent = _upstream_request(delivery, chosen)
        start = delivery.timer.start_attempt(delivery.now_s, chosen.expected_s)
        with (
            self._counted_request(chosen) as waiting,
            open_response(
                self._http_request(sent, chosen, on_silence)
            ) as response,
        ):
            head = self._dialect.response_head(
                sent,
                response.status,
                response.headers,
            )
            _record_backoff(self._state, chosen, head)
            raise_for_head(head)
            raise_if_encoded(response.content_coding)
            raise_unless_continued(delivery, chosen, head)
            waiting.close()
            if delivery.routed.route.streaming and head.succeeded:
                yield from self._stream(
                    delivery,
                    chosen,
                    head,
                    EventStream(response, on_silence, start),
                )
            else:
                yield from self._complete(delivery, chosen, head, response)

    @contextlib.contextmanager
    def _counted_request(
        self, chosen: ChosenUpstream
    ) -> Iterator[contextlib.ExitStack]:
        """Count a request as in progress.

        It also counts as waiting until the yielded stack is closed.
        """
        own = self._state.loads.own
        name = chosen.runner.name
        with own.counted(name), contextlib.ExitStack() as waiting:
            waiting.enter_context(own.waiting(name, chosen.urgency))
            yield waiting

    @contextlib.contextmanager
    def _writing(self, chosen: ChosenUpstream) -> Iterator[None]:
        """Hold while a request is written, if it may still be sent.

        Raises
        ------
        NotSent
            If a failure domain of the upstream is evacuated, the upstream
            wants no requests, or it is cold and may get no more now.
        """
        self._state.evacuations.raise_if_evacuated(chosen.failure_domains)
        raise_if_backed_off(self._state, chosen.runner.name)
        with self._state.cold_runners.writing(chosen.runner):
            yield

    def _http_request(
        self,
        sent: UpstreamRequest,
        chosen: ChosenUpstream,
        on_silence: Callable[[], float],
    ) -> HttpRequest:
        return HttpRequest(
            chosen.runner.address,
            sent.request.method,
            sent.request.target,
            self._dialect.headers(sent),
            sent.request.body,
            min(sent.remaining_s, chosen.begins_by_s - time.monotonic()),
            Silence(chosen.response_timeout_s, on_silence),
            functools.partial(self._writing, chosen),
        )

    def _stream(
        self,
        delivery: DeliveryState,
        chosen: ChosenUpstream,
        head: ResponseHead,
        stream: EventStream,
    ) -> Iterator[ResponsePart]:
        timeout_s = min(
            chosen.response_timeout_s, chosen.begins_by_s - delivery.now_s
        )
        streamed = stream.events(delivery, timeout_s)
        first_events = first_events_of(delivery, streamed)
        if not first_events:
            return
        self._state.harmful_prompts.clear(delivery.routed.request)
        for events in itertools.chain((first_events,), streamed):
            self._state.suspicions.clear(chosen.runner.name)
            yield from _passed_on(delivery, head, events)

    def _complete(
        self,
        delivery: DeliveryState,
        chosen: ChosenUpstream,
        head: ResponseHead,
        response: OpenResponse,
    ) -> Iterator[ResponsePart]:
        body = response.read_all(min(delivery.deadline_s, chosen.begins_by_s))
        delivery.begin_response(head)
        if head.succeeded:
            self._state.harmful_prompts.clear(delivery.routed.request)
        length = ('Content-Length', str(len(body)))
        yield evolve(head, headers=(*head.headers, length))
        yield body


def _upstream_request(
    delivery: DeliveryState, chosen: ChosenUpstream
) -> UpstreamRequest:
    return UpstreamRequest(
        delivery.routed.request,
        chosen.runner,
        delivery.routed.workspace,
        delivery.remaining_s,
        chosen.urgency,
        delivery.last_event_id,
    )


def _passed_on(
    delivery: DeliveryState,
    head: ResponseHead,
    events: bytes,
) -> Iterator[ResponsePart]:
    if not delivery.response_begun:
        delivery.begin_response(head)
        yield head
    yield events


def _record_backoff(
    state: ServingState, chosen: ChosenUpstream, head: ResponseHead
) -> None:
    if head.misdirected or head.for_other_request:
        return
    if not head.retry_after:
        state.backoffs.end(chosen.runner.name)
        return
    backoff_s = state.backoffs.record(chosen.runner.name, head.retry_after)
    log_backoff(chosen, backoff_s, head.retry_after)
