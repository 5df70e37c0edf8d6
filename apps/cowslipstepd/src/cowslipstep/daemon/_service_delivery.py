"""Delivery of calls to plain services."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import field, frozen

from cowslipstep.daemon._completion_sender import AttemptRefused
from cowslipstep.daemon._delivery_loop import Delivery, DeliveryLoop
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._relay import ResponsePart, relay_buffered
from cowslipstep.daemon._request_errors import request_error
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._runner_slots import HeldRunner, RunnerSlots
from cowslipstep.daemon._service_requests import ServiceRequest, service_call
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._upstream import UpstreamFailure, UpstreamPool
from cowslipstep.model import NotRun, Reason


@frozen
class _Upstreams:
    """Runners of the plain services and connections to them."""

    slots: RunnerSlots = field(factory=RunnerSlots)
    pool: UpstreamPool = field(factory=UpstreamPool)


class ServiceDelivery:
    """Sends calls to plain services, each to the least loaded runner.

    Parameters
    ----------
    state
        State of the daemon.
    keyed
        Runs orders with an idempotency key.
    """

    def __init__(
        self, state: DaemonState, order_execution: OrderExecution
    ) -> None:
        self._upstreams = _Upstreams()
        self._loop = DeliveryLoop(state, order_execution, 'service_calls')

    def deliver(self, request: ServiceRequest) -> Iterator[ResponsePart]:
        """Yield the head of the answer, then its body.

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
        attempts = _ServiceAttempts(
            request, delivery, self._upstreams, self._loop
        )
        return self._loop.deliver(delivery, attempts)


@frozen
class _ServiceAttempts:
    """Tries of one call."""

    _request: ServiceRequest
    _delivery: Delivery
    _upstreams: _Upstreams
    _loop: DeliveryLoop

    def attempt(self, run: RunState) -> Iterator[ResponsePart]:
        """Yield the pieces of an answer from one runner."""
        service = self._request.target.service
        with self._upstreams.slots.hold_runner(service, run) as held:
            match held:
                case NotRun():
                    raise AttemptRefused(held, 'no runner has room')
                case HeldRunner():
                    yield from self._send(held, run)

    def should_attempt_again(
        self, run: RunState, failure: UpstreamFailure
    ) -> bool:
        """Say whether a retry follows."""
        match failure:
            case AttemptRefused():
                return False
        return self._loop.spend_retry(self._delivery, run, failure)

    def end_response(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Raise, since answers are passed on whole."""
        raise request_error(run.verdict, str(failure)) from failure

    def _send(self, held: HeldRunner, run: RunState) -> Iterator[ResponsePart]:
        run.attempted_upstreams.append(str(held.address))
        call = service_call(self._request, held.address, run)
        if run.overdue:
            raise AttemptRefused(
                NotRun(Reason.deadline), 'the deadline has passed'
            )
        run.record_sending()
        try:
            yield from relay_buffered(self._upstreams.pool, call, run)
        except UpstreamFailure:
            held.failed = True
            raise
