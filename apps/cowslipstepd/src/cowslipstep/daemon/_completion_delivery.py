"""Delivery of completions: attempts, retries and resumed streams."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.daemon._completion_requests import CompletionRequest
from cowslipstep.daemon._completion_sender import (
    AttemptRefused,
    CompletionSender,
    GrantExpired,
)
from cowslipstep.daemon._delivery_loop import Delivery, DeliveryLoop
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._relay import ResponsePart
from cowslipstep.daemon._request_errors import error_event, request_error
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._upstream import UpstreamFailure
from cowslipstep.delivery import may_resume

_MAX_RESUMES = 3


class CompletionDelivery:
    """Delivers completion requests to groups.

    Parameters
    ----------
    state
        State of the daemon.
    slots
        Obtains slots on groups.
    order_execution
        Runs requests with an idempotency key at most once.
    """

    def __init__(
        self,
        state: DaemonState,
        slots: SlotService,
        order_execution: OrderExecution,
    ) -> None:
        self._sender = CompletionSender(state, slots)
        self._loop = DeliveryLoop(state, order_execution, 'requests')

    def deliver(self, completion: CompletionRequest) -> Iterator[ResponsePart]:
        """Yield the head of the response, then the parts of its body.

        Raises
        ------
        RequestError
            If the request fails before the head was yielded.
        """
        delivery = Delivery(
            completion.labels,
            completion.request.timeout_s,
            completion.request.idempotent,
            completion.order,
        )
        attempts = _CompletionAttempts(
            completion, delivery, self._sender, self._loop
        )
        return self._loop.deliver(delivery, attempts)


@frozen
class _CompletionAttempts:
    """Attempts of one completion request."""

    _completion: CompletionRequest
    _delivery: Delivery
    _sender: CompletionSender
    _loop: DeliveryLoop

    def attempt(self, run: RunState) -> Iterator[ResponsePart]:
        """Yield the response of one group."""
        return self._sender.send(self._completion, run)

    def should_attempt_again(
        self, run: RunState, failure: UpstreamFailure
    ) -> bool:
        """Return whether to make another attempt.

        It may be a retry, the resumption of a stream, or an attempt with a new
        grant after one that expired. The last needs no retry from the budget,
        since the request was not sent.
        """
        match failure:
            case AttemptRefused():
                return False
            case GrantExpired():
                self._loop.count('lapsed_grants', self._delivery)
                return not run.overdue
        if run.response_begun:
            return self._start_resume(run, failure)
        return self._loop.spend_retry(self._delivery, run, failure)

    def end_response(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Return an error event for a stream that has begun, or else raise."""
        if not run.response_begun:
            raise request_error(run.verdict, str(failure)) from failure
        request_id = self._completion.request.request_id
        return error_event(run.verdict, str(failure), request_id)

    def _start_resume(self, run: RunState, failure: UpstreamFailure) -> bool:
        if not (self._completion.stream and run.resume_count < _MAX_RESUMES):
            return False
        idempotent = self._delivery.idempotent
        if not may_resume(failure.verdict, idempotent=idempotent):
            return False
        run.resume_count += 1
        run.stream_progress.drop_partial_event()
        self._loop.count('resumes', self._delivery)
        return True
