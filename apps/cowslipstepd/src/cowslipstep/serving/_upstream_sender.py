"""One attempt of a request at an upstream."""

from __future__ import annotations

import contextlib
import functools
import math
import time
from collections.abc import Generator, Iterator

from attrs import evolve

from cowslipstep.daemon._read_limits import Silence
from cowslipstep.fleet import ResponseHead, UpstreamRequest
from cowslipstep.serving._backoff_refusals import raise_if_backed_off
from cowslipstep.serving._delivery_state import DeliveryState
from cowslipstep.serving._event_streams import BegunResponse
from cowslipstep.serving._request_log import log_backoff
from cowslipstep.serving._response_checks import (
    raise_for_head,
    raise_if_encoded,
    raise_unless_continued,
)
from cowslipstep.serving._response_steps import (
    ResponseEnd,
    ResponseStep,
    WholeResponse,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream
from cowslipstep.serving._upstream_http import (
    HttpRequest,
    open_response,
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
        silence: Silence,
    ) -> Generator[ResponseStep, None, None]:
        """Yield the steps of one attempt's response; the last is its end.

        Parameters
        ----------
        delivery
            The request.
        chosen
            The upstream.
        silence
            What happens while the upstream is silent, before its response
            begins and later. The response goes on after that.

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
                self._http_request(sent, chosen, silence)
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
            yield from _steps(
                delivery, chosen, BegunResponse(head, response, silence, start)
            )

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
        silence: Silence,
    ) -> HttpRequest:
        return HttpRequest(
            chosen.runner.address,
            sent.request.method,
            sent.request.target,
            self._dialect.headers(sent),
            sent.request.body,
            min(sent.remaining_s, chosen.begins_by_s - time.monotonic()),
            silence,
            functools.partial(self._writing, chosen),
        )


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


def _steps(
    delivery: DeliveryState, chosen: ChosenUpstream, begun: BegunResponse
) -> Iterator[ResponseStep]:
    if delivery.routed.route.streaming and begun.head.succeeded:
        return _as_stream(delivery, chosen, begun)
    return _as_whole(delivery, chosen, begun)


def _as_stream(
    delivery: DeliveryState, chosen: ChosenUpstream, begun: BegunResponse
) -> Iterator[ResponseStep]:
    first_event_s = chosen.begins_by_s - delivery.now_s
    after_s = min(begun.silence.after_s, first_event_s)
    silence = evolve(begun.silence, after_s=after_s)
    return evolve(begun, silence=silence).event_steps(delivery)


def _as_whole(
    delivery: DeliveryState, chosen: ChosenUpstream, begun: BegunResponse
) -> Iterator[ResponseStep]:
    # A body that has begun is waited for, silent or not.
    patience = evolve(begun.silence, after_s=math.inf)
    body = begun.response.read_all(
        min(delivery.deadline_s, chosen.begins_by_s), patience
    )
    length = ('Content-Length', str(len(body)))
    headers = (*begun.head.headers, length)
    yield WholeResponse(evolve(begun.head, headers=headers), body)
    yield ResponseEnd()


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
