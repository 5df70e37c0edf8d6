"""Claims of keyed orders: entered, answered and withdrawn."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import eventlet

from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._ledger_calls import ChangeLedger
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._segment_batches import LedgerUnavailable
from cowslipstep.daemon._settlements import Settlements, Task, change_entry
from cowslipstep.delivery import (
    ClaimOrder,
    EntryResult,
    KeyInUse,
    OrderResponse,
    RecordResponse,
    WithdrawClaim,
    before_ledger,
)
from cowslipstep.model import NotRun, Reason, RequestError

_UNAVAILABLE = 503
_LOOK_AGAIN_S = (0.1, 0.2, 0.4)
_WITHDRAWAL_TIMEOUT_S = 4


class OrderClaims:
    """Keeps claims in the ledger.

    Parameters
    ----------
    ledger
        Ledger of orders.
    look_again_s
        Delays after which a key in use is looked up again, seconds; the
        attempt that holds it may be about to be answered.
    """

    def __init__(
        self,
        ledger: ChangeLedger,
        look_again_s: tuple[float, ...] = _LOOK_AGAIN_S,
    ) -> None:
        self._ledger = ledger
        self._look_again_s = look_again_s
        self._settlements = Settlements(ledger)

    def enter(self, order: KeyedOrder) -> EntryResult:
        """Enter a claim and wait for the platform to confirm it.

        Raises
        ------
        RequestError
            If the platform does not confirm it.
        """
        try:
            return self._enter(order)
        except LedgerUnavailable as error:
            if error.unknown:
                self._withdraw(order)
            down = NotRun(Reason.platform_down, retry_after_s=1)
            raise RequestError(
                before_ledger(down, first_send=order.first_send),
                f'the order ledger cannot be written: {error}',
                _UNAVAILABLE,
            ) from error
        except BaseException:
            # The caller is gone, but its claim may be on its way.
            self._withdraw(order)
            raise

    @contextlib.contextmanager
    def held(self, order: KeyedOrder, run: RunState) -> Iterator[None]:
        """Withdraw the claim if the order has not run by the end."""
        try:
            yield
        except RequestError as error:
            if isinstance(error.verdict, NotRun):
                with eventlet.Timeout(_WITHDRAWAL_TIMEOUT_S, exception=False):
                    self._withdraw(order).wait()
            raise
        except BaseException:
            # The caller is gone; nobody waits for the ledger.
            if isinstance(run.verdict, NotRun):
                self._withdraw(order)
            raise

    def answer(self, order: KeyedOrder, answer: OrderResponse) -> None:
        """Begin to keep the answer of an order that ran."""
        self._settlements.start(order, RecordResponse(order.claim, answer))

    def wait_settled(self) -> None:
        """Wait until no answer and no withdrawal is on its way."""
        self._settlements.wait()

    def _withdraw(self, order: KeyedOrder) -> Task:
        return self._settlements.start(order, WithdrawClaim(order.claim))

    def _enter(self, order: KeyedOrder) -> EntryResult:
        change = ClaimOrder(order.claim)
        outcome = change_entry(self._ledger, order, change)
        for delay_s in self._look_again_s:
            if outcome != KeyInUse():
                break
            eventlet.sleep(delay_s)
            outcome = change_entry(self._ledger, order, change)
        return outcome
