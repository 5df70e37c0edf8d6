"""Admission: refuses at once what will not be served in time."""

from __future__ import annotations

from cowslipstep.model import NotRun, Reason, SlotRequest
from cowslipstep.routing._dispatcher_types import QueuedSlotRequest
from cowslipstep.routing._lane import Lane, expected_wait_s, newest_request
from cowslipstep.routing._limits import WorkspaceLimits
from cowslipstep.routing._ranked_queue import RankedQueue, queue_wait_s

_MAX_QUEUED_REQUESTS = 10000
_QUEUE_TIMEOUT_SHARE = 0.9
_SHED_WAIT_FACTOR = 1.5
_ALWAYS_ADMITTED_REQUESTS = 4


def queue_timeout_s(slot_request: SlotRequest) -> float:
    """Return how long an ask may wait; the rest is for the first token."""
    return slot_request.request.timeout_s * _QUEUE_TIMEOUT_SHARE


def admit(
    queued: QueuedSlotRequest,
    queue: RankedQueue,
    limits: WorkspaceLimits,
) -> NotRun | None:
    """Return why an ask is refused, or nothing if it may wait."""
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
    """Return the ask to refuse, if there are too many, least urgent first.

    A rank's backlog is too long as well if it takes too long to serve, since
    it was admitted when the rank was served faster.
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
    return sums.size <= _ALWAYS_ADMITTED_REQUESTS
