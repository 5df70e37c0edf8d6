"""Admission control of a cell's queue.

A slot request that would not get its slot in time is refused at once, so
that the entry daemon can try another cell or refuse the request early.
"""

from __future__ import annotations

from cowslipstep.model import NotRun, Reason, SlotRequest
from cowslipstep.routing._dispatcher_types import QueuedSlotRequest
from cowslipstep.routing._lane import Lane, expected_wait_s, newest_request
from cowslipstep.routing._limits import WorkspaceLimits
from cowslipstep.routing._ranked_queue import RankedQueue, queue_wait_s

_MAX_QUEUED_REQUESTS = 10000
_QUEUE_TIMEOUT_SHARE = 0.9
_SHED_WAIT_FACTOR = 1.5
# While no more slot requests than this wait in a rank, the expected wait does
# not cause refusals or shedding.
_SHORT_BACKLOG_REQUESTS = 4


def queue_timeout_s(slot_request: SlotRequest) -> float:
    """Return how long a slot request may wait in the queue.

    The rest of the time that is left to the request is kept for the group to
    return the first token.
    """
    return slot_request.request.timeout_s * _QUEUE_TIMEOUT_SHARE


def find_refusal(
    queued: QueuedSlotRequest,
    queue: RankedQueue,
    limits: WorkspaceLimits,
) -> NotRun | None:
    """Return why a slot request is refused, or ``None`` if it may wait."""
    if queued.rank not in queue.lanes:
        return NotRun(Reason.unknown_rank)
    delay_s = limits.delay_s(queued.workspace)
    if delay_s > 0:
        return NotRun(Reason.limit, retry_after_s=delay_s)
    lane = queue.lanes[queued.rank]
    if _has_short_backlog(lane):
        return None
    wait_s = queue_wait_s(queue, queued)
    if wait_s > min(queue_timeout_s(queued.slot_request), lane.max_wait_s):
        return NotRun(Reason.deadline, retry_after_s=wait_s)
    return None


def next_to_shed(queue: RankedQueue, queued: int) -> QueuedSlotRequest | None:
    """Return the slot request to shed, or ``None`` if no backlog is too long.

    The least urgent ranks are shed first. Besides the limit on the number of
    slot requests there is one on the expected time to serve the backlog of a
    rank: the rank may be served more slowly than when they were admitted.

    Parameters
    ----------
    queue
        The queue of the cell.
    queued
        Number of slot requests that wait.
    """
    for lane in reversed(tuple(queue.lanes.values())):
        backlog_s = expected_wait_s(lane, lane.queue.sums.tokens)
        too_long = (
            backlog_s > lane.max_wait_s * _SHED_WAIT_FACTOR
            and not _has_short_backlog(lane)
        )
        if lane.has_requests and (queued > _MAX_QUEUED_REQUESTS or too_long):
            return newest_request(lane)
    return None


def _has_short_backlog(lane: Lane) -> bool:
    sums = lane.queue.sums
    return sums.size <= _SHORT_BACKLOG_REQUESTS
