"""Changes of the order ledger that no caller waits for."""

from __future__ import annotations

from typing import Any

import eventlet
from loguru import logger

from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_ledger_calls import ChangeApplier, LocatedChange
from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable
from cowslipstep.delivery import ChangeOutcome, OrderChange

# One attempt before each delay, and one after the last.
_RETRY_DELAYS_S = (0.5, 1, 2, 4, 8)

Task = Any


class BackgroundChanges:
    """Records responses and withdraws claims, with one task for each.

    Parameters
    ----------
    ledger
        Ledger of orders.
    """

    def __init__(self, ledger: ChangeApplier) -> None:
        self._ledger = ledger
        self._tasks: set[Task] = set()

    def start(self, order: KeyedOrder, change: OrderChange) -> Task:
        """Start a task that applies a change, and return the task."""
        task = eventlet.spawn(self._apply_with_retries, order, change)
        self._tasks.add(task)
        task.link(self._tasks.discard)
        return task

    def wait(self) -> None:
        """Wait until each change was applied or had its last retry."""
        while self._tasks:
            next(iter(self._tasks)).wait()

    def _apply_with_retries(
        self,
        order: KeyedOrder,
        change: OrderChange,
    ) -> None:
        """Apply a change; retry it during a short outage of the platform."""
        for delay_s in _RETRY_DELAYS_S:
            if self._is_applied(order, change):
                return
            eventlet.sleep(delay_s)
        if self._is_applied(order, change):
            return
        # Without the response or withdrawal the claim holds its key, so the
        # order cannot run again before the entry expires.
        logger.warning(
            'change of an order entry not confirmed; key in use until expiry'
        )

    def _is_applied(self, order: KeyedOrder, change: OrderChange) -> bool:
        try:
            change_entry(self._ledger, order, change)
        except OrderLedgerUnavailable as error:
            logger.info('change of an order entry not confirmed yet: {}', error)
            return False
        return True


def change_entry(
    ledger: ChangeApplier,
    order: KeyedOrder,
    change: OrderChange,
) -> ChangeOutcome:
    """Apply a change to the ledger entry of an order.

    Raises
    ------
    OrderLedgerUnavailable
        If the platform does not confirm the change in time.
    """
    located = LocatedChange(order.location, change, order.retention_s)
    return ledger.apply(located)
