"""Delivery of a request by one or more attempts on discovered upstreams."""

from __future__ import annotations

from collections.abc import Iterator

import eventlet

from cowslipstep.daemon._requests_in_progress import StopReached
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.delivery import combine_verdicts, may_resume, may_retry
from cowslipstep.fleet import CallerRequest
from cowslipstep.model import MayHaveRun, NotRun, Reason, RequestError
from cowslipstep.serving._attempts import (
    MAX_ATTEMPTS,
    SEARCH_PERIOD_S,
    Attempts,
    TakenOver,
)
from cowslipstep.serving._delivery_state import DeliveryState, start_delivery
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._refusals import present_refusal
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._upstream_choice import ChosenUpstream, UpstreamChoice
from cowslipstep.serving._upstream_sender import ResponsePart

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
# Retry-After of a refusal that names no other; an upstream may be free then.
_RETRY_AFTER_S = 0.4


class RequestDelivery:
    """Delivers requests on routes.

    Parameters
    ----------
    state
        State of the daemon.
    metrics
        Counts outcomes of requests and failed attempts.
    """

    def __init__(self, state: ServingState, metrics: RequestMetrics) -> None:
        self._state = state
        self._metrics = metrics
        self._choice = UpstreamChoice(state)
        self._attempts = Attempts(state, metrics, self._choice)

    def deliver(
        self,
        request: CallerRequest,
        arrived_s: float,
    ) -> Iterator[ResponsePart]:
        """Yield the head of the response, then its body in parts.

        Raises
        ------
        RequestError
            If the request fails. If the response has begun, the server must
            close the connection within it, so that the caller does not accept
            the part as the whole.
        """
        table = self._state.configuration.table
        if table is None:
            raise _refusal(NotRun(Reason.not_ready))
        routed = table.route(request)
        refusal = self._state.process.planned_stop.refusal(routed)
        if refusal is not None:
            raise _refusal(refusal)
        delivery = start_delivery(routed, arrived_s)
        self._state.retry_budget(delivery.routed.service).record_request()
        self._choice.record_demand(delivery)
        guard = self._state.harmful_prompts.guard
        guard.known.add_request(request.shared_prompt_parts)
        with self._metrics.outcome_counted(delivery):
            yield from self._respond(delivery)
        self._state.process.planned_stop.record_duration(
            routed.route.name, delivery.now_s - arrived_s
        )

    def _respond(self, delivery: DeliveryState) -> Iterator[ResponsePart]:
        attempt = self._attempts.begin(delivery, self._next_upstream(delivery))
        while True:
            try:
                yield from attempt.parts
            except TakenOver as taken_over:
                attempt = taken_over.attempt
            except StopReached as reached:
                self._attempts.record_failure(
                    delivery, attempt, _cut_by_stop(reached)
                )
                raise _final_error(delivery) from reached
            except UpstreamFailure as failure:
                self._attempts.record_failure(delivery, attempt, failure)
                attempt = self._attempts.begin(
                    delivery, self._next_upstream(delivery)
                )
            else:
                return

    def _next_upstream(self, delivery: DeliveryState) -> ChosenUpstream:
        if delivery.overdue or delivery.attempts >= MAX_ATTEMPTS:
            raise _final_error(delivery)
        _raise_if_refused(self._state, delivery)
        chosen = self._choose_upstream(delivery)
        match chosen:
            case NotRun():
                delivery.verdict = combine_verdicts(delivery.verdict, chosen)
                raise _final_error(delivery)
            case ChosenUpstream():
                if delivery.attempts and not self._may_attempt_again(delivery):
                    raise _final_error(delivery)
                return chosen

    def _choose_upstream(
        self, delivery: DeliveryState
    ) -> ChosenUpstream | NotRun:
        """Return an upstream; wait for one if the response has begun."""
        chosen = self._choice.choose(delivery)
        while (
            delivery.response_begun
            and not delivery.overdue
            and isinstance(chosen, NotRun)
        ):
            eventlet.sleep(SEARCH_PERIOD_S)
            chosen = self._choice.choose(delivery)
        return chosen

    def _may_attempt_again(self, delivery: DeliveryState) -> bool:
        verdict = delivery.verdict
        route = delivery.routed.route
        if verdict is None or len(delivery.possible_runs) >= route.max_attempts:
            return False
        if delivery.response_begun:
            allowed = may_resume(verdict, idempotent=route.repeatable)
        else:
            allowed = may_retry(
                verdict,
                idempotent=route.repeatable,
                response_begun=False,
            )
        return (
            allowed
            and self._state.retry_budget(delivery.routed.service).spend()
        )


def _cut_by_stop(reached: StopReached) -> UpstreamFailure:
    return UpstreamFailure(MayHaveRun(Reason.stopping), str(reached))


def _raise_if_refused(state: ServingState, delivery: DeliveryState) -> None:
    refusal = present_refusal(state, delivery)
    if refusal is not None:
        delivery.verdict = combine_verdicts(delivery.verdict, refusal)
        raise _final_error(delivery)


def _final_error(delivery: DeliveryState) -> RequestError:
    match delivery.verdict:
        case MayHaveRun() as verdict:
            status = _GATEWAY_TIMEOUT if delivery.overdue else _BAD_GATEWAY
            return RequestError(verdict, 'the request may have run', status)
        case NotRun() as refusal:
            return _refusal(refusal)
        case _:
            return _refusal(NotRun(Reason.no_capacity))


def _refusal(refusal: NotRun) -> RequestError:
    return RequestError(
        NotRun(refusal.reason, refusal.retry_after_s or _RETRY_AFTER_S),
        'the request has not run',
        _UNAVAILABLE,
    )
