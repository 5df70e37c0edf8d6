"""Queue of a cell: ranks by priority, with a guaranteed share for each.

Within a rank the queue is fair between workspaces.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from cowslipstep.routing._dispatcher_types import (
    CellPolicy,
    Clock,
    QueuedSlotRequest,
)
from cowslipstep.routing._fair_queue import FairQueue, charge, tokens_ahead
from cowslipstep.routing._headroom import Reserve
from cowslipstep.routing._lane import Lane, drain, expected_wait_s
from cowslipstep.routing._rates import BusyMeter, ServiceRate

_MAX_WAIT_TARGET_FACTOR = 2


class RankedQueue:
    """Slot requests of all ranks of a cell.

    Explanation
    -----------
    Each grant credits every rank with its guaranteed share of the granted
    tokens. The rank whose credit exceeds the cost of its first slot request
    the most goes next; if no credit suffices, the most urgent rank with slot
    requests does. So each rank keeps its guaranteed share while any other
    rank overloads the cell.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lanes: dict[str, Lane] = {}
        self._weights: dict[str, float] = {}

    @property
    def lanes(self) -> Mapping[str, Lane]:
        """Lanes by rank, the most urgent first."""
        return self._lanes

    def apply_policy(
        self,
        policy: CellPolicy,
        *,
        serving: bool,
    ) -> Iterator[QueuedSlotRequest]:
        """Apply ranks and weights; yield slot requests of removed ranks."""
        old = self._lanes
        _observe_all(old.values(), self._clock())
        self._weights.clear()
        for workspace in policy.workspaces:
            self._weights[workspace.workspace] = workspace.weight
        self._lanes = {}
        for rank in policy.ranks:
            lane = old.pop(rank.name, self._new_lane())
            lane.serving = serving
            lane.floor_share = rank.floor_share
            lane.max_wait_s = (
                _MAX_WAIT_TARGET_FACTOR * rank.target_first_token_s
            )
            self._lanes[rank.name] = lane
        for removed in old.values():
            yield from drain(removed)

    def push(self, queued: QueuedSlotRequest) -> None:
        """Queue a slot request; its rank must be in the policy."""
        lane = self._lanes[queued.rank]
        lane.observe(self._clock())
        lane.queue.push(queued)

    def pop(self, free_slots: int) -> QueuedSlotRequest | None:
        """Remove and return the slot request that is granted next.

        Returns ``None`` if none waits, or if the free slots are kept for
        others.
        """
        queued = _next_request(self._lanes.values(), free_slots)
        if queued is None:
            return None
        chosen = self._lanes[queued.rank]
        cost_tokens = queued.cost_tokens
        chosen.observe(self._clock(), cost_tokens)
        chosen.queue.dequeue(queued)
        for lane in self._lanes.values():
            lane.add_credit(cost_tokens * lane.floor_share)
        chosen.add_credit(-cost_tokens)
        return queued

    def remove(self, queued: QueuedSlotRequest, *, served: bool) -> None:
        """Remove a slot request; if ``served``, count it in the rank's rate."""
        lane = self._lanes[queued.rank]
        tokens = queued.cost_tokens if served else 0
        lane.observe(self._clock(), tokens)
        lane.queue.remove(queued)

    def _new_lane(self) -> Lane:
        meter = BusyMeter(ServiceRate(), self._clock())
        return Lane(FairQueue(self._weights), meter)


def apply_reserves(
    queue: RankedQueue,
    reserves: Mapping[str, Reserve],
) -> None:
    """Set the free slots that are kept for each rank."""
    for rank, lane in queue.lanes.items():
        lane.reserve = reserves[rank]


def queue_wait_s(queue: RankedQueue, queued: QueuedSlotRequest) -> float:
    """Estimate how long a new slot request would wait."""
    lane = queue.lanes.get(queued.rank)
    if lane is None or not lane.has_requests:
        return 0
    ahead = tokens_ahead(lane.queue, queued.workspace, queued.cost_tokens)
    return expected_wait_s(lane, ahead)


def correct_cost(
    queue: RankedQueue,
    rank: str,
    workspace: str,
    tokens: float,
) -> None:
    """Charge tokens beyond the expected cost; a negative number credits."""
    lane = queue.lanes.get(rank)
    if lane is None:
        return
    charge(lane.queue, workspace, tokens)
    lane.add_credit(-tokens)


def _next_request(
    lanes: Collection[Lane], free_slots: int
) -> QueuedSlotRequest | None:
    if free_slots <= 0:
        return None
    behind = max(lanes, key=Lane.surplus_tokens, default=None)
    if behind is not None and behind.surplus_tokens() >= 0:
        return behind.queue.first()
    for lane in lanes:
        first = _first_in(lane, free_slots)
        if first is not None:
            return first
        free_slots -= lane.reserve.for_rank
        if free_slots <= 0:
            return None
    return None


def _first_in(lane: Lane, free_slots: int) -> QueuedSlotRequest | None:
    if free_slots > lane.reserve.for_others:
        return lane.queue.first()
    return lane.queue.first(excluded=lane.reserve.dominant)


def _observe_all(lanes: Collection[Lane], now_s: float) -> None:
    for lane in lanes:
        lane.observe(now_s)
