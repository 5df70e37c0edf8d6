"""Changes of order entries that end a claim, applied in the background."""

from __future__ import annotations

from typing import Any

import eventlet
from loguru import logger

from cowslipstep.daemon._keyed_orders import KeyedOrder
from cowslipstep.daemon._order_ledger_calls import ChangeApplier, PlacedChange
from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable
from cowslipstep.delivery import ChangeOutcome, OrderChange

_AGAIN_S = (0.5, 1, 2, 4, 8, 16)

Task = Any


class Settlements:
    """Records answers and withdrawals, one task for each.

    Parameters
    ----------
    ledger
        Ledger of orders.
    """

    def __init__(self, ledger: ChangeApplier) -> None:
        self._ledger = ledger
        self._tasks: set[Task] = set()

    def start(self, order: KeyedOrder, change: OrderChange) -> Task:
        """Begin to apply a change and return the task that does."""
        task = eventlet.spawn(self._settle, order, change)
        self._tasks.add(task)
        task.link(self._tasks.discard)
        return task

    def wait(self) -> None:
        """Wait until all changes are applied or given up."""
        while self._tasks:
            next(iter(self._tasks)).wait()

    def _settle(self, order: KeyedOrder, change: OrderChange) -> None:
        """Apply a change, again and again through a short outage."""
        for delay_s in _AGAIN_S:
            try:
                change_entry(self._ledger, order, change)
            except OrderLedgerUnavailable as error:
                logger.info('an order entry is still open: {}', error)
                eventlet.sleep(delay_s)
                continue
            return
        # The entry stays open, so that the order cannot run again.
        logger.warning('an order entry stays open')


def change_entry(
    ledger: ChangeApplier,
    order: KeyedOrder,
    change: OrderChange,
) -> ChangeOutcome:
    """Apply a change to the entry of an order.

    Raises
    ------
    LedgerUnavailable
        If the platform does not confirm it in time.
    """
    placed = PlacedChange(order.place, change, order.retention_s)
    return ledger.apply(placed)
