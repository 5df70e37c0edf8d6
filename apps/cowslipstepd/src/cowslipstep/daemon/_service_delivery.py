"""Delivery of calls to plain services."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.daemon._completion_sender import AttemptRefused
from cowslipstep.daemon._delivery_loop import Delivery, DeliveryLoop
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._relay import ResponsePart, relay_buffered
from cowslipstep.daemon._request_errors import request_error
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._runner_slots import HeldRunner, RunnerSlots
from cowslipstep.daemon._service_requests import ServiceRequest, service_call
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._upstream_failures import NotSent, UpstreamFailure
from cowslipstep.model import NotRun, Reason


class ServiceDelivery:
    """Delivers calls to plain services, each to the least loaded runner.

    Parameters
    ----------
    state
        State of the daemon.
    order_execution
        Runs requests with an idempotency key at most once.
    """

    def __init__(
        self, state: DaemonState, order_execution: OrderExecution
    ) -> None:
        self._slots = RunnerSlots()
        self._loop = DeliveryLoop(state, order_execution, 'service_calls')

    def deliver(self, request: ServiceRequest) -> Iterator[ResponsePart]:
        """Yield the head of the response, then its body.

        Raises
        ------
        RequestError
            If the call fails.
        """
        delivery = Delivery(
            request.labels,
            request.timeout_s,
            request.target.idempotent,
            request.order,
        )
        attempts = _ServiceAttempts(request, delivery, self._slots, self._loop)
        return self._loop.deliver(delivery, attempts)


@frozen
class _ServiceAttempts:
    """Attempts of one call."""

    _request: ServiceRequest
    _delivery: Delivery
    _slots: RunnerSlots
    _loop: DeliveryLoop

    def attempt(self, run: RunState) -> Iterator[ResponsePart]:
        """Yield the response of one runner."""
        service = self._request.target.service
        with self._slots.hold_runner(service, run) as runner:
            match runner:
                case NotRun():
                    raise AttemptRefused(runner, 'no runner has a free slot')
                case HeldRunner():
                    yield from self._send(runner, run)

    def should_attempt_again(
        self, run: RunState, failure: UpstreamFailure
    ) -> bool:
        """Return whether to retry the call."""
        match failure:
            case AttemptRefused():
                return False
        return self._loop.spend_retry(self._delivery, run, failure)

    def end_response(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Raise; a buffered response never fails after it has begun."""
        raise request_error(run.verdict, str(failure)) from failure

    def _send(
        self, runner: HeldRunner, run: RunState
    ) -> Iterator[ResponsePart]:
        run.attempted_upstreams.append(str(runner.address))
        call = self._slots.backoffs.guarded(
            service_call(self._request, runner.address, run),
            str(runner.address),
        )
        if run.overdue:
            raise AttemptRefused(
                NotRun(Reason.deadline), 'the deadline has passed'
            )
        run.record_sending()
        try:
            with self._slots.backoffs.observed(str(runner.address)):
                yield from relay_buffered(call, run)
        except NotSent:
            raise
        except UpstreamFailure:
            runner.failed = True
            raise
