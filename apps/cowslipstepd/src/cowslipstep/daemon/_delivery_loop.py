"""Delivery of one request: attempts until it ends, its verdict and figures."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from typing import Protocol

from attrs import frozen

from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._outcomes import (
    OutcomeLog,
    RequestLabels,
    Timings,
    timed_parts,
)
from cowslipstep.daemon._relay import ResponsePart
from cowslipstep.daemon._run_state import RunState, start_run
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._upstream import UpstreamFailure
from cowslipstep.delivery import RetryBudget, may_retry
from cowslipstep.model import Completed


@frozen
class Delivery:
    """What the loop needs to know of a request.

    ``order`` is ``None`` for a request without an idempotency key.
    """

    labels: RequestLabels
    timeout_s: float
    idempotent: bool
    order: KeyedOrder | None


class RequestAttempts(Protocol):
    """How one request is tried."""

    def attempt(self, run: RunState) -> Iterator[ResponsePart]:
        """Yield the pieces of one try, or raise ``UpstreamFailure``."""

    def should_attempt_again(
        self, run: RunState, failure: UpstreamFailure
    ) -> bool:
        """Say whether another try follows a failed one."""

    def end_response(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Return the end of an answer that has begun, else raise."""


class DeliveryLoop:
    """Tries requests until they end, within a budget of retries.

    Parameters
    ----------
    state
        State of the daemon.
    keyed
        Runs orders with an idempotency key.
    counter
        Name of the counter of requests.
    """

    def __init__(
        self,
        state: DaemonState,
        order_execution: OrderExecution,
        counter: str,
    ) -> None:
        self._order_execution = order_execution
        self._budget = RetryBudget()
        self._outcomes = OutcomeLog(state, counter)
        self._timings = Timings(state)

    def deliver(
        self, delivery: Delivery, attempts: RequestAttempts
    ) -> Iterator[ResponsePart]:
        """Yield the head of the answer, then its body piece by piece.

        Raises
        ------
        RequestError
            If the request fails before the head was yielded.
        """
        run = start_run(delivery.timeout_s)
        with self._outcomes.recorded(delivery.labels, run):
            yield from timed_parts(
                self._answer(delivery, attempts, run),
                self._timings,
                delivery.labels,
            )

    def spend_retry(
        self,
        delivery: Delivery,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        """Say whether a failed try may be followed by a retry, and count it."""
        allowed = may_retry(
            failure.verdict,
            idempotent=delivery.idempotent,
            response_begun=run.response_begun,
        )
        if not allowed or run.overdue or not self._budget.spend():
            return False
        self.count('retries', delivery)
        return True

    def count(self, name: str, delivery: Delivery) -> None:
        """Add one to another counter of requests."""
        self._outcomes.count(name, delivery.labels)

    def _answer(
        self,
        delivery: Delivery,
        attempts: RequestAttempts,
        run: RunState,
    ) -> Iterator[ResponsePart]:
        pieces = self._run(attempts, run)
        if delivery.order is None:
            return pieces
        return self._order_execution.run(delivery.order, pieces, run)

    def _run(
        self,
        attempts: RequestAttempts,
        run: RunState,
    ) -> Generator[ResponsePart, None, None]:
        self._budget.record_request()
        while run.verdict != Completed():
            try:
                yield from attempts.attempt(run)
            except UpstreamFailure as failure:
                run.record_failure(failure.verdict)
                if not attempts.should_attempt_again(run, failure):
                    yield attempts.end_response(run, failure)
                    return
                continue
            run.verdict = Completed()
