"""Delivery of completions: tries, resumptions, answers to callers."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.daemon._completions import CallerRequest
from cowslipstep.daemon._delivery_loop import Delivery, DeliveryLoop
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._relay import Piece
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._stream_errors import error_event, failed_request
from cowslipstep.daemon._tries import (
    CompletionTries,
    GrantLapsed,
    TryRefused,
)
from cowslipstep.daemon._upstream import UpstreamFailure
from cowslipstep.delivery import may_resume

_MAX_RESUMES = 3


class DeliveryService:
    """Runs callers' requests on groups.

    Parameters
    ----------
    state
        State of the daemon.
    slots
        Gives slots.
    keyed
        Runs orders with an idempotency key.
    """

    def __init__(
        self,
        state: DaemonState,
        slots: SlotService,
        keyed: OrderExecution,
    ) -> None:
        self._tries = CompletionTries(state, slots)
        self._loop = DeliveryLoop(state, keyed, 'requests')

    def deliver(self, caller: CallerRequest) -> Iterator[Piece]:
        """Yield the head of the answer, then its body piece by piece.

        Raises
        ------
        RequestError
            If the request fails before the head was yielded.
        """
        delivery = Delivery(
            caller.labels,
            caller.request.timeout_s,
            caller.request.idempotent,
            caller.order,
        )
        tries = _CallerTries(caller, delivery, self._tries, self._loop)
        return self._loop.deliver(delivery, tries)


@frozen
class _CallerTries:
    """Tries of one completion."""

    _caller: CallerRequest
    _delivery: Delivery
    _tries: CompletionTries
    _loop: DeliveryLoop

    def once(self, run: RunState) -> Iterator[Piece]:
        """Yield the pieces of an answer from one group."""
        return self._tries.once(self._caller, run)

    def goes_on(self, run: RunState, failure: UpstreamFailure) -> bool:
        """Say whether a retry or a resumption follows."""
        match failure:
            case TryRefused():
                return False
            case GrantLapsed():
                self._loop.count('lapsed_grants', self._delivery)
                return not run.overdue
        if run.begun:
            return self._resumes(run, failure)
        return self._loop.retries(self._delivery, run, failure)

    def end(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Return an error event for a stream that has begun, else raise."""
        if not run.begun:
            raise failed_request(run.verdict, str(failure)) from failure
        request_id = self._caller.request.request_id
        return error_event(run.verdict, str(failure), request_id)

    def _resumes(self, run: RunState, failure: UpstreamFailure) -> bool:
        if not (self._caller.stream and run.resumes < _MAX_RESUMES):
            return False
        idempotent = self._delivery.idempotent
        if not may_resume(failure.verdict, idempotent=idempotent):
            return False
        run.resumes += 1
        run.stream.drop_rest()
        self._loop.count('resumes', self._delivery)
        return True
