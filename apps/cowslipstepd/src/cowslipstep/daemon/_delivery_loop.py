"""Delivery of one request: tries until it ends, its verdict and figures."""

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
    measured,
)
from cowslipstep.daemon._relay import Piece
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


class Tries(Protocol):
    """How one request is tried."""

    def once(self, run: RunState) -> Iterator[Piece]:
        """Yield the pieces of one try, or raise ``UpstreamFailure``."""

    def goes_on(self, run: RunState, failure: UpstreamFailure) -> bool:
        """Say whether another try follows a failed one."""

    def end(self, run: RunState, failure: UpstreamFailure) -> bytes:
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
        keyed: OrderExecution,
        counter: str,
    ) -> None:
        self._keyed = keyed
        self._budget = RetryBudget()
        self._outcomes = OutcomeLog(state, counter)
        self._timings = Timings(state)

    def deliver(self, delivery: Delivery, tries: Tries) -> Iterator[Piece]:
        """Yield the head of the answer, then its body piece by piece.

        Raises
        ------
        RequestError
            If the request fails before the head was yielded.
        """
        run = start_run(delivery.timeout_s)
        with self._outcomes.noted(delivery.labels, run):
            yield from measured(
                self._answer(delivery, tries, run),
                self._timings,
                delivery.labels,
            )

    def retries(
        self,
        delivery: Delivery,
        run: RunState,
        failure: UpstreamFailure,
    ) -> bool:
        """Say whether a failed try may be followed by a retry, and count it."""
        allowed = may_retry(
            failure.verdict,
            idempotent=delivery.idempotent,
            response_begun=run.begun,
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
        tries: Tries,
        run: RunState,
    ) -> Iterator[Piece]:
        pieces = self._run(tries, run)
        if delivery.order is None:
            return pieces
        return self._keyed.run(delivery.order, pieces, run)

    def _run(
        self,
        tries: Tries,
        run: RunState,
    ) -> Generator[Piece, None, None]:
        self._budget.record_request()
        while run.verdict != Completed():
            try:
                yield from tries.once(run)
            except UpstreamFailure as failure:
                run.note_failure(failure.verdict)
                if not tries.goes_on(run, failure):
                    yield tries.end(run, failure)
                    return
                continue
            run.verdict = Completed()
