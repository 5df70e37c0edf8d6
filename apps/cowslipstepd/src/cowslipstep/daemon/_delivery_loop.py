"""Delivery of one request: its attempts, verdict and metrics."""

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
    """Properties of a request that decide how it is delivered.

    ``order`` is ``None`` for a request without an idempotency key.
    """

    labels: RequestLabels
    timeout_s: float
    idempotent: bool
    order: KeyedOrder | None


class RequestAttempts(Protocol):
    """Attempts of one request, and the decision whether to make another."""

    def attempt(self, run: RunState) -> Iterator[ResponsePart]:
        """Yield the response of one attempt, or raise ``UpstreamFailure``."""

    def should_attempt_again(
        self, run: RunState, failure: UpstreamFailure
    ) -> bool:
        """Return whether to make another attempt after a failed one."""

    def end_response(self, run: RunState, failure: UpstreamFailure) -> bytes:
        """Return the last part of a response that has begun, or else raise."""


class DeliveryLoop:
    """Makes attempts of requests until they end, within a retry budget.

    Parameters
    ----------
    state
        State of the daemon.
    order_execution
        Runs requests with an idempotency key at most once.
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
        """Yield the head of the response, then the parts of its body.

        Raises
        ------
        RequestError
            If the request fails before the head was yielded.
        """
        run = start_run(delivery.timeout_s)
        with self._outcomes.recorded(delivery.labels, run):
            yield from timed_parts(
                self._parts(delivery, attempts, run),
                self._timings,
                delivery.labels,
            )

    def spend_retry(
        self,
        delivery: Delivery,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        """Count a retry against the budget, if one is allowed.

        Returns false if no retry may follow the failed attempt.
        """
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
        """Increment the counter ``name`` for the request."""
        self._outcomes.count(name, delivery.labels)

    def _parts(
        self,
        delivery: Delivery,
        attempts: RequestAttempts,
        run: RunState,
    ) -> Iterator[ResponsePart]:
        parts = self._make_attempts(attempts, run)
        if delivery.order is None:
            return parts
        return self._order_execution.run(delivery.order, parts, run)

    def _make_attempts(
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
