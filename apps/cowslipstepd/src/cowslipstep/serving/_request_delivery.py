"""Delivery of a request by one or more attempts on discovered upstreams."""

from __future__ import annotations

from collections.abc import Generator, Iterator

from cowslipstep.daemon._requests_in_progress import StopReached
from cowslipstep.daemon._upstream_failures import UpstreamFailure
from cowslipstep.fleet import CallerRequest
from cowslipstep.model import MayHaveRun, NotRun, Reason
from cowslipstep.serving._attempt import Attempt
from cowslipstep.serving._attempt_records import AttemptRecords
from cowslipstep.serving._attempts import Attempts, TakenOver
from cowslipstep.serving._delivery_state import DeliveryState, start_delivery
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._next_upstream import (
    NextUpstream,
    final_error,
    refusal_error,
)
from cowslipstep.serving._response_parts import ResponsePart, passed_on
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._substitute_choice import SubstituteChoice
from cowslipstep.serving._upstream_choice import UpstreamChoice


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
        self._next = NextUpstream(state, self._choice)
        self._records = AttemptRecords(state, metrics)
        self._attempts = Attempts(
            state, self._records, SubstituteChoice(state, self._choice)
        )

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
            raise refusal_error(NotRun(Reason.not_ready))
        routed = table.route(request)
        refusal = self._state.process.planned_stop.refusal(routed)
        if refusal is not None:
            raise refusal_error(refusal)
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
        attempt: Attempt | None = self._begin_attempt(delivery)
        while attempt is not None:
            with self._attempts.reading(delivery, attempt):
                attempt = yield from self._read(delivery, attempt)

    def _read(
        self, delivery: DeliveryState, attempt: Attempt
    ) -> Generator[ResponsePart, None, Attempt | None]:
        """Pass a response on; return what goes on, ``None`` after its end."""
        try:
            yield from self._passed_on(delivery, attempt)
        except TakenOver:
            return attempt.take_substitute()
        except StopReached as reached:
            self._records.record_failure(
                delivery, attempt, _cut_by_stop(reached)
            )
            raise final_error(delivery) from reached
        except UpstreamFailure as failure:
            self._records.record_failure(delivery, attempt, failure)
            return attempt.take_substitute() or self._begin_attempt(delivery)
        return None

    def _passed_on(
        self, delivery: DeliveryState, attempt: Attempt
    ) -> Iterator[ResponsePart]:
        for step in attempt.all_steps():
            self._attempts.let_go_on(delivery, attempt, step)
            yield from passed_on(self._state, delivery, attempt.chosen, step)

    def _begin_attempt(self, delivery: DeliveryState) -> Attempt:
        return self._attempts.begin(delivery, self._next.choose(delivery))


def _cut_by_stop(reached: StopReached) -> UpstreamFailure:
    return UpstreamFailure(MayHaveRun(Reason.stopping), str(reached))
