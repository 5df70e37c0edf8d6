"""Runs of orders that carry an idempotency key: at most once each."""

from __future__ import annotations

import contextlib
from collections.abc import Generator, Iterator

from cowslipstep.daemon._kept_answers import KeptAnswer, replay
from cowslipstep.daemon._keyed_orders import KeyedOrder, refusal_of
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._relay import Piece
from cowslipstep.daemon._run_state import RunState
from cowslipstep.delivery import AlreadyAnswered, ClaimEntered, KeyInUse
from cowslipstep.metrics import CounterKey, Counters
from cowslipstep.model import Completed, RequestError

Pieces = Generator[Piece, None, None]


class KeyedRuns:
    """Enters orders in the ledger before they run.

    Parameters
    ----------
    claims
        Keeps claims in the ledger.
    counters
        Counters of the daemon.
    """

    def __init__(self, claims: OrderClaims, counters: Counters) -> None:
        self._claims = claims
        self._counters = counters

    def run(
        self,
        order: KeyedOrder,
        pieces: Pieces,
        run: RunState,
    ) -> Iterator[Piece]:
        """Yield the pieces of an answer if this attempt may run the order.

        ``pieces`` must not have sent anything before its first piece is
        asked for.

        Raises
        ------
        RequestError
            If the order may not run, or fails before its answer begins.
        """
        with self._counted(order, run):
            yield from self._run_once(order, pieces, run)

    def _run_once(
        self,
        order: KeyedOrder,
        pieces: Pieces,
        run: RunState,
    ) -> Iterator[Piece]:
        match self._claims.enter(order):
            case ClaimEntered():
                self._count(order, 'entered')
                yield from self._run_entered(order, pieces, run)
            case AlreadyAnswered(answer):
                self._count(order, 'replayed')
                run.verdict = Completed()
                yield from replay(answer)
            case KeyInUse() as refused:
                self._count(order, 'in_use')
                raise refusal_of(refused)
            case refused:
                raise refusal_of(refused)

    def _run_entered(
        self,
        order: KeyedOrder,
        pieces: Pieces,
        run: RunState,
    ) -> Iterator[Piece]:
        kept = KeptAnswer()
        with self._claims.held(order, run), contextlib.closing(pieces):
            for piece in pieces:
                kept.add(piece)
                yield piece
        if run.verdict == Completed():
            self._claims.answer(order, kept.answer)

    def _count(self, order: KeyedOrder, entry: str) -> None:
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
