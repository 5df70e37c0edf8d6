"""Admission: refuses at once what will not be served in time."""

from __future__ import annotations

from cowslipstep.model import NotRun, Reason, SlotRequest
from cowslipstep.routing._lane import Lane, expected_wait_s, newest_ask
from cowslipstep.routing._limits import WorkspaceLimits
from cowslipstep.routing._ranked_queue import RankedQueue, queue_wait_s
from cowslipstep.routing._views import QueuedAsk

_MAX_QUEUED = 10000
_QUEUE_SHARE = 0.9
_SHED_FACTOR = 1.5
_ALWAYS_QUEUED = 4


def queue_time_s(ask: SlotRequest) -> float:
    """Return how long an ask may wait; the rest is for the first token."""
    return ask.request.timeout_s * _QUEUE_SHARE


def admit(
    queued: QueuedAsk,
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
    if _few(lane):
        return None
    wait_s = queue_wait_s(queue, queued)
    if wait_s > min(queue_time_s(queued.ask), lane.max_wait_s):
        return NotRun(Reason.deadline, retry_after_s=wait_s)
    return None


def next_to_shed(queue: RankedQueue, queued: int) -> QueuedAsk | None:
    """Return the ask to refuse, if there are too many, least urgent first.

    A rank's backlog is too long as well if it takes too long to serve, since
    it was admitted when the rank was served faster.
    """
    for lane in reversed(tuple(queue.lanes.values())):
        backlog_s = expected_wait_s(lane, lane.asks.sums.tokens)
        too_long = backlog_s > lane.max_wait_s * _SHED_FACTOR and not _few(lane)
        if lane.busy and (queued > _MAX_QUEUED or too_long):
            return newest_ask(lane)
    return None


def _few(lane: Lane) -> bool:
    sums = lane.asks.sums
    return sums.size <= _ALWAYS_QUEUED
