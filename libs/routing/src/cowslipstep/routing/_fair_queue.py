"""Fair queue between the workspaces of one rank.

References
----------
P. Goyal, H. M. Vin and H. Cheng, "Start-time fair queueing: a scheduling
algorithm for integrated services packet switching networks", IEEE/ACM
Transactions on Networking 5(5), 1997.
"""

from __future__ import annotations

import collections
import heapq
from collections.abc import Mapping

from attrs import define, field

from cowslipstep.routing._dispatcher_types import QueuedSlotRequest
from cowslipstep.routing._longest_backlog import LongestBacklog

_DEFAULT_WEIGHT = 1
_NO_WORKSPACES: frozenset[str] = frozenset()

_Entry = tuple[float, str]


@define
class Flow:
    """Queued slot requests of one workspace, and their share of the service.

    Attributes
    ----------
    workspace
        Name of the workspace.
    weight
        Weight of the workspace.
    start_tag
        Virtual time at which its next slot request may start; the flow with
        the smallest tag goes first.
    tokens
        Cost of all its slot requests.
    in_heap
        Whether the flow has an entry in the heap.
    requests
        Slot requests by request, the oldest first.
    """

    workspace: str
    weight: float = _DEFAULT_WEIGHT
    start_tag: float = 0
    tokens: int = 0
    in_heap: bool = False
    requests: collections.OrderedDict[str, QueuedSlotRequest] = field(
        factory=collections.OrderedDict,
    )


class FairQueue:
    """Start-time fair queue; each workspace has one entry in the heap.

    Parameters
    ----------
    weights
        Weights by workspace; the default is 1.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._virtual_time: float = 0
        self._heap: list[_Entry] = []
        self._flows: dict[str, Flow] = {}
        self._sums = _Sums()

    @property
    def sums(self) -> _Sums:
        """Sums over all queued slot requests."""
        return self._sums

    def push(self, queued: QueuedSlotRequest) -> None:
        """Queue a slot request behind those of its workspace."""
        flow = self.flow(queued.workspace)
        if not flow.requests:
            flow.weight = self._weights.get(flow.workspace, _DEFAULT_WEIGHT)
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            self._sums.weight += flow.weight
        flow.requests[queued.request_id] = queued
        flow.tokens += queued.cost_tokens
        self._sums.add(queued)
        if flow.in_heap:
            return
        flow.in_heap = True
        heapq.heappush(self._heap, (flow.start_tag, flow.workspace))

    def first(
        self,
        excluded: frozenset[str] = _NO_WORKSPACES,
    ) -> QueuedSlotRequest | None:
        """Return the next slot request without removing it.

        Those of excluded workspaces are skipped.
        """
        skipped = []
        found = _first_request(self._heap, self._flows)
        while found is not None and found.workspace in excluded:
            skipped.append(heapq.heappop(self._heap))
            found = _first_request(self._heap, self._flows)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found

    def dequeue(self, queued: QueuedSlotRequest) -> None:
        """Remove the slot request of ``first`` and charge its workspace."""
        flow = self._flows[queued.workspace]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += queued.cost_tokens / flow.weight
        self.remove(queued)

    def remove(self, queued: QueuedSlotRequest) -> None:
        """Remove a slot request without a charge."""
        flow = self._flows[queued.workspace]
        flow.requests.pop(queued.request_id)
        flow.tokens -= queued.cost_tokens
        self._sums.remove(queued)
        if not flow.requests:
            self._sums.weight -= flow.weight

    def flow(self, workspace: str) -> Flow:
        """Return the flow of a workspace, a new one if it has none."""
        if workspace not in self._flows:
            self._flows[workspace] = Flow(workspace)
        return self._flows[workspace]


def _first_request(
    heap: list[_Entry], flows: Mapping[str, Flow]
) -> QueuedSlotRequest | None:
    """Return the first slot request by start tag.

    Heap entries with an outdated tag are corrected on the way, and those of
    empty flows removed.
    """
    while heap:
        tag, workspace = heap[0]
        flow = flows[workspace]
        if flow.requests and flow.start_tag <= tag:
            return next(iter(flow.requests.values()))
        heapq.heappop(heap)
        flow.in_heap = bool(flow.requests)
        if flow.in_heap:
            heapq.heappush(heap, (flow.start_tag, workspace))
    return None


def charge(queue: FairQueue, workspace: str, tokens: float) -> None:
    """Charge a workspace for tokens beyond the cost already charged."""
    flow = queue.flow(workspace)
    flow.start_tag += tokens / flow.weight


def newest_of_longest(queue: FairQueue) -> QueuedSlotRequest:
    """Return the newest slot request of the workspace with the most."""
    workspace = queue.sums.longest.workspace
    requests = queue.flow(workspace).requests
    return next(reversed(requests.values()))


def tokens_ahead(queue: FairQueue, workspace: str, cost_tokens: int) -> float:
    """Estimate the tokens that are served before a new slot request.

    Explanation
    -----------
    While the backlog of its own workspace is served, the others are served
    in proportion to their weights, up to all that is queued.
    """
    flow = queue.flow(workspace)
    sums = queue.sums
    weight = sums.weight if flow.requests else sums.weight + flow.weight
    own = flow.tokens + cost_tokens
    return min(sums.tokens, own * weight / flow.weight - cost_tokens)


@define
class _Sums:
    """Sums over the slot requests of a fair queue."""

    size: int = 0
    tokens: int = 0
    weight: float = 0
    longest: LongestBacklog = field(factory=LongestBacklog)

    def add(self, queued: QueuedSlotRequest) -> None:
        """Count a slot request."""
        self.size += 1
        self.tokens += queued.cost_tokens
        self.longest.add(queued.workspace)

    def remove(self, queued: QueuedSlotRequest) -> None:
        """Count a slot request as removed."""
        self.size -= 1
        self.tokens -= queued.cost_tokens
        self.longest.remove(queued.workspace)
