"""Slot requests that modelled entry daemons send to the cells."""

from __future__ import annotations

import functools
import math
from collections.abc import Mapping

from cowslipstep.model import Cell, Grant, Refusal, Release, SlotRequest
from cowslipstep.replay._cell_models import CellModel
from cowslipstep.replay._cell_owners import AnyDispatcher
from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._grant_execution import (
    OWNER_CHECK_DELAY_S,
    GrantExecutor,
)
from cowslipstep.replay._held_grants import HeldGrant
from cowslipstep.replay._pending_requests import (
    PendingRequest,
    SlotRequestBatch,
)


class SlotRequester:
    """Sends slot requests to batches of cells until one grants a slot.

    Parameters
    ----------
    scheduler
        Scheduler of the replay's events.
    fleet
        The modelled fleet.
    cells
        Its cells.
    executor
        Executes the requests that were granted a slot.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        fleet: FleetModel,
        cells: Mapping[Cell, CellModel],
        executor: GrantExecutor,
    ) -> None:
        self._scheduler = scheduler
        self._fleet = fleet
        self._cells = cells
        self._executor = executor

    def request_slot(self, pending: PendingRequest) -> None:
        """Send slot requests to the next batch of cells.

        The request is refused if no batch is left or its timeout has passed.
        """
        cell_batch = next(pending.batches, None)
        remaining_s = pending.expires_s - self._scheduler.clock()
        if cell_batch is None or remaining_s <= 0:
            pending.outcome.ended_s = self._scheduler.clock()
            pending.entry.choice.record_refusal(pending.request)
            return
        batch = SlotRequestBatch()
        for cell in cell_batch.cells:
            batch.unanswered[cell] = self._current_owner(cell, pending)
        for cell in cell_batch.cells:
            if not batch.granted:
                slot_request = pending.make_slot_request(
                    cell, remaining_s, immediate=cell_batch.immediate
                )
                self._submit(pending, batch, slot_request)
        self._schedule_owner_check(pending, batch)

    def _submit(
        self,
        pending: PendingRequest,
        batch: SlotRequestBatch,
        slot_request: SlotRequest,
    ) -> None:
        reply = functools.partial(
            self._process_reply, pending, batch, slot_request
        )
        batch.unanswered[slot_request.cell].submit(slot_request, reply)

    def _schedule_owner_check(
        self, pending: PendingRequest, batch: SlotRequestBatch
    ) -> None:
        """Check the owners of the unanswered cells after their next change."""
        change_s = min(
            (
                self._cells[cell].owners.next_change_s()
                for cell in batch.unanswered
            ),
            default=math.inf,
        )
        if change_s < pending.expires_s:
            resubmit = functools.partial(
                self._resubmit_to_new_owners, pending, batch
            )
            self._scheduler.schedule(change_s + OWNER_CHECK_DELAY_S, resubmit)

    def _resubmit_to_new_owners(
        self, pending: PendingRequest, batch: SlotRequestBatch
    ) -> None:
        """Withdraw slot requests from former owners; send them to new ones."""
        remaining_s = pending.expires_s - self._scheduler.clock()
        for cell, owner in tuple(batch.unanswered.items()):
            current = self._current_owner(cell, pending)
            if current is not owner and cell in batch.unanswered:
                owner.release(Release(cell, pending.request.request_id, 0))
                batch.unanswered[cell] = current
                self._submit(
                    pending, batch, pending.make_slot_request(cell, remaining_s)
                )
        self._schedule_owner_check(pending, batch)

    def _current_owner(
        self, cell: Cell, pending: PendingRequest
    ) -> AnyDispatcher:
        return pending.entry.current_owner(cell, self._cells[cell].owners)

    def _process_reply(
        self,
        pending: PendingRequest,
        batch: SlotRequestBatch,
        slot_request: SlotRequest,
        reply: Grant | Refusal,
    ) -> None:
        owner = batch.unanswered.pop(slot_request.cell)
        if reply.usage is not None and self._fleet.forwards_usage:
            pending.entry.usage_table.record(
                slot_request.request.workspace, reply.usage
            )
        match reply:
            case Grant(group=group):
                _withdraw_unanswered(batch, slot_request.request.request_id)
                self._executor.begin(
                    HeldGrant(pending, slot_request, group, owner)
                )
            case Refusal(verdict=verdict):
                pending.outcome.code = verdict.reason.value
                if not batch.unanswered and not batch.granted:
                    self.request_slot(pending)


def _withdraw_unanswered(batch: SlotRequestBatch, request_id: str) -> None:
    batch.granted = True
    while batch.unanswered:
        cell, owner = batch.unanswered.popitem()
        owner.release(Release(cell, request_id, 0))
