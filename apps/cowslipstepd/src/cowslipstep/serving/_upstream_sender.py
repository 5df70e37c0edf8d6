"""One attempt of a request at an upstream."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from attrs import evolve

from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import ResponseHead, UpstreamRequest
from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.serving._delivery_state import (
    DeliveryState,
    may_run_elsewhere,
)
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream
from cowslipstep.serving._upstream_http import (
    HttpRequest,
    OpenResponse,
    open_response,
)

ResponsePart = ResponseHead | bytes

# Silence timeout of a stream, as a multiple of its longest planned pause.
_SILENCE_GAP_FACTOR = 2
_MIN_SILENCE_TIMEOUT_S = 0.4
# Largest event of a stream; it is held in memory until it is complete.
_MAX_EVENT_BYTES = 1048576


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
        self, delivery: DeliveryState, chosen: ChosenUpstream
    ) -> Iterator[ResponsePart]:
        """Yield the head and body parts of one attempt's response.

        Raises
        ------
        UpstreamFailure
            If the upstream refuses or fails the request, or the response is
            incomplete.
        """
        sent = _upstream_request(delivery, chosen)
        with (
            self._counted_request(chosen) as waiting,
            open_response(self._http_request(sent, chosen)) as response,
        ):
            head = self._dialect.response_head(
                sent,
                response.status,
                response.headers,
            )
            _raise_for_head(head)
            waiting.close()
            if delivery.routed.route.streaming and head.succeeded:
                yield from self._stream(delivery, chosen, head, response)
            else:
                yield from _complete_response(delivery, head, response)

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

    def _http_request(
        self, sent: UpstreamRequest, chosen: ChosenUpstream
    ) -> HttpRequest:
        return HttpRequest(
            chosen.runner.address,
            sent.request.method,
            sent.request.target,
            self._dialect.headers(sent),
            sent.request.body,
            chosen.response_timeout_s,
        )

    def _stream(
        self,
        delivery: DeliveryState,
        chosen: ChosenUpstream,
        head: ResponseHead,
        response: OpenResponse,
    ) -> Iterator[ResponsePart]:
        delivery.progress.drop_partial_event()
        # Only whole events end a silence, so that an upstream that sends a byte
        # now and then does not hold the request.
        silent_until_s = delivery.now_s + min(
            chosen.response_timeout_s, delivery.remaining_s
        )
        chunk = response.read_chunk(silent_until_s - delivery.now_s)
        while chunk:
            _raise_if_unbounded(delivery)
            events = delivery.progress.add_chunk(chunk)
            if events:
                self._state.suspicions.clear(chosen.runner.name)
                yield from _passed_on(delivery, head, events)
                silent_until_s = delivery.now_s + self._silence_timeout_s(
                    delivery
                )
            chunk = response.read_chunk(silent_until_s - delivery.now_s)
        _raise_if_cut(delivery)
        if not delivery.response_begun:
            delivery.begin_response()
            yield head

    def _silence_timeout_s(self, delivery: DeliveryState) -> float:
        """Return how long a stream may be silent before it fails.

        If it could not be resumed at another upstream, only the deadline of
        the request limits the silence.
        """
        may_resume = (
            may_run_elsewhere(delivery)
            and self._state.retry_budget(delivery.routed.service).allows_retry
        )
        if not may_resume:
            return delivery.remaining_s
        route = delivery.routed.route
        silence_s = max(
            _SILENCE_GAP_FACTOR * route.max_gap_s, _MIN_SILENCE_TIMEOUT_S
        )
        return min(silence_s, delivery.remaining_s)


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
        delivery.begin_response()
        yield head
    yield events


def _raise_if_unbounded(delivery: DeliveryState) -> None:
    """Raise if a stream goes on after the deadline, or an event has no end."""
    if delivery.overdue:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_timeout),
            'stream goes on after the deadline of the request',
        )
    if delivery.progress.partial_event_bytes > _MAX_EVENT_BYTES:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            f'expected events of at most {_MAX_EVENT_BYTES} bytes, got more',
        )


def _raise_for_head(head: ResponseHead) -> None:
    if head.for_other_request:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'response belongs to another request',
        )
    if head.misdirected:
        raise UpstreamFailure(
            NotRun(Reason.upstream_moved),
            'upstream moved: another one responded, or it leads no group now',
        )
    if head.refusal is not None:
        raise UpstreamFailure(
            head.refusal,
            f'upstream responded with status {head.status}',
        )


def _raise_if_cut(delivery: DeliveryState) -> None:
    if delivery.progress.has_partial_event:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_cut),
            'stream ended within an event, expected its end',
        )


def _complete_response(
    delivery: DeliveryState,
    head: ResponseHead,
    response: OpenResponse,
) -> Iterator[ResponsePart]:
    body = response.read_all(delivery.deadline_s)
    if delivery.response_begun:
        raise UpstreamFailure(
            MayHaveRun(Reason.upstream_failed),
            f'stream not resumed by the upstream: status {head.status}',
        )
    delivery.begin_response()
    length = ('Content-Length', str(len(body)))
    yield evolve(head, headers=(*head.headers, length))
    yield body
