"""Claims of orders: entered, withdrawn, and completed with a response."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import eventlet

from cowslipstep.daemon._background_changes import (
    BackgroundChanges,
    Task,
    change_entry,
)
from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_ledger_calls import ChangeApplier
from cowslipstep.daemon._run_state import RunState
from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable
from cowslipstep.delivery import (
    ChangeOutcome,
    ClaimOrder,
    KeyInUse,
    OrderResponse,
    RecordResponse,
    WithdrawClaim,
    verdict_before_lookup,
)
from cowslipstep.model import NotRun, Reason, RequestError

_UNAVAILABLE = 503
_RECHECK_DELAYS_S = (0.1, 0.2, 0.4)
_WITHDRAWAL_TIMEOUT_S = 4


class OrderClaims:
    """Enters and withdraws claims and records responses in the ledger.

    Parameters
    ----------
    ledger
        Ledger of orders.
    recheck_delays_s
        Delays after which a claim is entered again if another one holds the
        key, seconds: the response of that one may be about to be recorded.
    """

    def __init__(
        self,
        ledger: ChangeApplier,
        recheck_delays_s: tuple[float, ...] = _RECHECK_DELAYS_S,
    ) -> None:
        self._ledger = ledger
        self._recheck_delays_s = recheck_delays_s
        self._background = BackgroundChanges(ledger)

    def enter(self, order: KeyedOrder) -> ChangeOutcome:
        """Enter a claim and wait until the platform has confirmed it.

        If that fails, a claim that may have been entered is withdrawn in the
        background.

        Raises
        ------
        RequestError
            If the platform does not confirm the claim.
        """
        try:
            return self._enter(order)
        except OrderLedgerUnavailable as error:
            if error.may_be_applied:
                self._withdraw(order)
            down = NotRun(Reason.platform_down, retry_after_s=1)
            raise RequestError(
                verdict_before_lookup(down, first_send=order.first_send),
                f'the order ledger cannot be written: {error}',
                _UNAVAILABLE,
            ) from error
        except BaseException:
            # This task is ended, for instance because the caller closed its
            # connection, while the write of the claim may be on its way.
            self._withdraw(order)
            raise

    @contextlib.contextmanager
    def withdrawn_unless_run(
        self,
        order: KeyedOrder,
        run: RunState,
    ) -> Iterator[None]:
        """Withdraw the claim if the block ends without a run of the order.

        A refused caller that sends the order again should not find the old
        claim, so the error is raised after the withdrawal, or after a few
        seconds without its confirmation.
        """
        try:
            yield
        except RequestError as error:
            if isinstance(error.verdict, NotRun):
                with eventlet.Timeout(_WITHDRAWAL_TIMEOUT_S, exception=False):
                    self._withdraw(order).wait()
            raise
        except BaseException:
            # The caller has closed its connection, so there is no response
            # to delay until the claim is withdrawn.
            if isinstance(run.verdict, NotRun):
                self._withdraw(order)
            raise

    def record_response(
        self,
        order: KeyedOrder,
        response: OrderResponse,
    ) -> None:
        """Store the response of an order that ran, in the background."""
        self._background.start(order, RecordResponse(order.claim, response))

    def wait_for_changes(self) -> None:
        """Wait until no response and no withdrawal is left to be written."""
        self._background.wait()

    def _withdraw(self, order: KeyedOrder) -> Task:
        return self._background.start(order, WithdrawClaim(order.claim))

    def _enter(self, order: KeyedOrder) -> ChangeOutcome:
        change = ClaimOrder(order.claim)
        outcome = change_entry(self._ledger, order, change)
        for delay_s in self._recheck_delays_s:
            if outcome != KeyInUse():
                break
            eventlet.sleep(delay_s)
            outcome = change_entry(self._ledger, order, change)
        return outcome
