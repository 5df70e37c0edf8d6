"""Intake of slot requests to the queue, and removal without a grant."""

from __future__ import annotations

from cowslipstep.model import Reason, SlotRequest
from cowslipstep.routing._dispatcher_types import (
    Clock,
    QueuedSlotRequest,
    SlotReplyCallback,
)
from cowslipstep.routing._limits import WorkspaceLimits
from cowslipstep.routing._queue_admission import (
    find_refusal,
    next_to_shed,
    queue_timeout_s,
)
from cowslipstep.routing._ranked_queue import RankedQueue, queue_wait_s
from cowslipstep.routing._waiting_requests import WaitingSlotRequests

_MIN_RETRY_S = 1


class Intake:
    """Admits slot requests to the queue, and refuses or sheds others.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    queue
        Estimates how long a slot request would wait.
    waiting
        Holds the admitted slot requests.
    limits
        Limits of the workspaces.
    """

    def __init__(
        self,
        clock: Clock,
        queue: RankedQueue,
        waiting: WaitingSlotRequests,
        limits: WorkspaceLimits,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._waiting = waiting
        self._limits = limits

    def admit(
        self, slot_request: SlotRequest, reply: SlotReplyCallback
    ) -> bool:
        """Queue a slot request, or refuse it and return false."""
        expires_s = self._clock() + queue_timeout_s(slot_request)
        queued = QueuedSlotRequest(slot_request, reply, expires_s)
        refusal = find_refusal(queued, self._queue, self._limits)
        if refusal is not None:
            queued.refuse(refusal.reason, refusal.retry_after_s)
            return False
        self.withdraw(queued.request_id)
        self._limits.begin(queued.workspace, queued.cost_tokens)
        self._waiting.push(queued)
        return True

    def withdraw(
        self,
        request_id: str,
        *,
        served: bool = False,
    ) -> QueuedSlotRequest | None:
        """Remove a slot request that the entry daemon has withdrawn.

        Parameters
        ----------
        request_id
            The request.
        served
            Whether it counts as served in the rate of its rank, as if another
            cell had granted a slot.

        Returns
        -------
        QueuedSlotRequest | None
            The slot request, or ``None`` if it did not wait.
        """
        withdrawn = self._waiting.withdraw(request_id, served=served)
        if withdrawn is not None:
            self._uncharge(withdrawn)
        return withdrawn

    def refuse(self, queued: QueuedSlotRequest, reason: Reason) -> None:
        """Refuse a slot request that was removed from the queue."""
        self._uncharge(queued)
        wait_s = queue_wait_s(self._queue, queued)
        queued.refuse(reason, max(_MIN_RETRY_S, wait_s))

    def refuse_waiting(self, request_id: str, reason: Reason) -> None:
        """Remove and refuse a slot request, if it waits."""
        queued = self._waiting.withdraw(request_id)
        if queued is not None:
            self.refuse(queued, reason)

    def shed(self) -> None:
        """Refuse slot requests as long as a backlog is too long."""
        next_shed = next_to_shed(self._queue, self._waiting.size)
        while next_shed is not None:
            self.refuse_waiting(next_shed.request_id, Reason.queue_full)
            next_shed = next_to_shed(self._queue, self._waiting.size)

    def _uncharge(self, queued: QueuedSlotRequest) -> None:
        self._limits.end(queued.workspace)
        self._limits.charge(queued.workspace, -queued.cost_tokens)
