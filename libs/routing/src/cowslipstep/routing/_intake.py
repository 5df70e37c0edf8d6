"""Asks on their way into the queue, and out of it without a grant."""

from __future__ import annotations

from cowslipstep.model import Reason, SlotRequest
from cowslipstep.routing._admission import admit, next_to_shed, queue_time_s
from cowslipstep.routing._limits import WorkspaceLimits
from cowslipstep.routing._ranked_queue import RankedQueue, queue_wait_s
from cowslipstep.routing._views import Clock, QueuedAsk, SlotReplyCallback
from cowslipstep.routing._waiting import WaitingAsks

_SHORTEST_RETRY_S = 1


class Intake:
    """Admits asks to the queue and refuses those that will not be served.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    queue
        Says how long an ask would wait.
    waiting
        Takes the asks.
    limits
        Limits of the workspaces.
    """

    def __init__(
        self,
        clock: Clock,
        queue: RankedQueue,
        waiting: WaitingAsks,
        limits: WorkspaceLimits,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._waiting = waiting
        self._limits = limits

    def admit(self, ask: SlotRequest, reply: SlotReplyCallback) -> bool:
        """Queue an ask, or refuse it and return false."""
        expires_s = self._clock() + queue_time_s(ask)
        queued = QueuedAsk(ask, reply, expires_s)
        refusal = admit(queued, self._queue, self._limits)
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
    ) -> QueuedAsk | None:
        """Take an ask out of the queue; ``served`` if it ran elsewhere."""
        withdrawn = self._waiting.withdraw(request_id, served=served)
        if withdrawn is not None:
            self._uncharge(withdrawn)
        return withdrawn

    def refuse(self, queued: QueuedAsk, reason: Reason) -> None:
        """Refuse an ask that was taken out of the queue."""
        self._uncharge(queued)
        wait_s = queue_wait_s(self._queue, queued)
        queued.refuse(reason, max(_SHORTEST_RETRY_S, wait_s))

    def refuse_waiting(self, request_id: str, reason: Reason) -> None:
        """Refuse an ask if it waits."""
        queued = self._waiting.withdraw(request_id)
        if queued is not None:
            self.refuse(queued, reason)

    def shed(self) -> None:
        """Refuse asks while there are too many."""
        excess = next_to_shed(self._queue, self._waiting.size)
        while excess is not None:
            self.refuse_waiting(excess.request_id, Reason.queue_full)
            excess = next_to_shed(self._queue, self._waiting.size)

    def _uncharge(self, queued: QueuedAsk) -> None:
        self._limits.end(queued.workspace)
        self._limits.charge(queued.workspace, -queued.cost_tokens)
