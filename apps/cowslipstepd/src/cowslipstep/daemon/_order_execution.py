"""At-most-once execution of orders: requests with an idempotency key."""

from __future__ import annotations

import contextlib
from collections.abc import Generator, Iterator

from cowslipstep.daemon._keyed_orders import KeyedOrder, refusal_of
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._relay import ResponsePart
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._stored_responses import ResponseRecorder, replay
from cowslipstep.delivery import AlreadyAnswered, ClaimEntered, KeyInUse
from cowslipstep.metrics import CounterKey, Counters
from cowslipstep.model import Completed, RequestError

ResponseParts = Generator[ResponsePart, None, None]


class OrderExecution:
    """Claims each order in the ledger before it runs.

    Parameters
    ----------
    claims
        Enters and withdraws claims and records responses.
    counters
        Counters of the daemon.
    """

    def __init__(self, claims: OrderClaims, counters: Counters) -> None:
        self._claims = claims
        self._counters = counters

    def run(
        self,
        order: KeyedOrder,
        parts: ResponseParts,
        run: RunState,
    ) -> Iterator[ResponsePart]:
        """Yield a response: that of an earlier run, else of ``parts``.

        ``parts`` is iterated only after the claim was entered, and must not
        send anything to an upstream before that.

        Raises
        ------
        RequestError
            If the order may not run, or fails before its response begins.
        """
        with self._counted(order, run):
            yield from self._run_once(order, parts, run)

    def _run_once(
        self,
        order: KeyedOrder,
        parts: ResponseParts,
        run: RunState,
    ) -> Iterator[ResponsePart]:
        match self._claims.enter(order):
            case ClaimEntered():
                self._count_entry(order, 'entered')
                yield from self._run_claimed(order, parts, run)
            case AlreadyAnswered(response):
                self._count_entry(order, 'replayed')
                run.verdict = Completed()
                yield from replay(response)
            case KeyInUse() as refused:
                self._count_entry(order, 'in_use')
                raise refusal_of(refused)
            case refused:
                raise refusal_of(refused)

    def _run_claimed(
        self,
        order: KeyedOrder,
        parts: ResponseParts,
        run: RunState,
    ) -> Iterator[ResponsePart]:
        recorder = ResponseRecorder()
        with (
            self._claims.withdrawn_unless_run(order, run),
            contextlib.closing(parts),
        ):
            for part in parts:
                recorder.add(part)
                yield part
        if run.verdict == Completed():
            self._claims.record_response(order, recorder.response)

    def _count_entry(self, order: KeyedOrder, entry: str) -> None:
        labels = (('workspace', order.workspace), ('entry', entry))
        self._counters.add(CounterKey('order_entries', labels))

    @contextlib.contextmanager
    def _counted(self, order: KeyedOrder, run: RunState) -> Iterator[None]:
        try:
            yield
        except RequestError as error:
            run.verdict = error.verdict
            raise
        finally:
            labels = (
                ('workspace', order.workspace),
                ('verdict', run.verdict.code),
            )
            self._counters.add(CounterKey('orders', labels))
