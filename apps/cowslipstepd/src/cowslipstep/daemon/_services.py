"""Delivery of calls to plain services."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import field, frozen

from cowslipstep.daemon._delivery_loop import Delivery, DeliveryLoop
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._relay import Piece, relay_whole
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._runner_slots import HeldRunner, RunnerSlots
from cowslipstep.daemon._service_requests import ServiceRequest, service_call
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._stream_errors import failed_request
from cowslipstep.daemon._tries import TryRefused
from cowslipstep.daemon._upstream import UpstreamFailure, UpstreamPool
from cowslipstep.model import NotRun, Reason


@frozen
class _Upstreams:
    """Runners of the plain services and connections to them."""

    slots: RunnerSlots = field(factory=RunnerSlots)
    pool: UpstreamPool = field(factory=UpstreamPool)


class ServiceCalls:
    """Sends calls to plain services, each to the least loaded runner.

    Parameters
    ----------
    state
        State of the daemon.
    keyed
        Runs orders with an idempotency key.
    """

    def __init__(self, state: DaemonState, keyed: OrderExecution) -> None:
        self._upstreams = _Upstreams()
        self._loop = DeliveryLoop(state, keyed, 'service_calls')

    def deliver(self, request: ServiceRequest) -> Iterator[Piece]:
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
        tries = _ServiceTries(request, delivery, self._upstreams, self._loop)
        return self._loop.deliver(delivery, tries)


@frozen
class _ServiceTries:
    """Tries of one call."""

    _request: ServiceRequest
    _delivery: Delivery
    _upstreams: _Upstreams
    _loop: DeliveryLoop

    def once(self, run: RunState) -> Iterator[Piece]:
        """Yield the pieces of an answer from one runner."""
        service = self._request.target.service
        with self._upstreams.slots.runner(service, run) as held:
            match held:
                case NotRun():
                    raise TryRefused(held, 'no runner has room')
                case HeldRunner():
                    yield from self._send(held, run)

    def goes_on(self, run: RunState, failure: UpstreamFailure) -> bool:
        """Say whether a retry follows."""
        match failure:
            case TryRefused():
                return False
        return self._loop.retries(self._delivery, run, failure)

    def end(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Raise, since answers are passed on whole."""
        raise failed_request(run.verdict, str(failure)) from failure

    def _send(self, held: HeldRunner, run: RunState) -> Iterator[Piece]:
        run.avoid.append(str(held.address))
        call = service_call(self._request, held.address, run)
        if run.overdue:
            raise TryRefused(NotRun(Reason.deadline), 'the deadline has passed')
        run.note_sending()
        try:
            yield from relay_whole(self._upstreams.pool, call, run)
        except UpstreamFailure:
            held.failed = True
            raise
