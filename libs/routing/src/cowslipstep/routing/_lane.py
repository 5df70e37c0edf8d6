"""Lane: the slot requests of one rank in the queue of a cell."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field

from cowslipstep.routing._dispatcher_types import QueuedSlotRequest
from cowslipstep.routing._fair_queue import FairQueue, newest_of_longest
from cowslipstep.routing._headroom import Reserve
from cowslipstep.routing._rates import BusyMeter

_MAX_CREDIT_TOKENS = 8000
_MAX_DEBT_TOKENS = 4000


@define(eq=False)
class Lane:
    """Slot requests of one rank, and the credit from its guaranteed share.

    Attributes
    ----------
    queue
        The slot requests.
    meter
        Measures the rate at which the rank is served while requests wait.
    floor_share
        Guaranteed share of all granted tokens.
    max_wait_s
        Longest estimated wait with which a slot request is admitted.
    credit_tokens
        Tokens by which the rank is behind its guaranteed share; negative if
        it was granted more.
    reserve
        Free slots that are kept for the rank.
    serving
        Whether the groups serve with all their slots. At other times the
        rate is not measured, since it would seem too low.
    """

    queue: FairQueue
    meter: BusyMeter
    floor_share: float = 0
    max_wait_s: float = 0
    credit_tokens: float = 0
    reserve: Reserve = field(factory=Reserve)
    serving: bool = True

    @property
    def has_requests(self) -> bool:
        """Whether a slot request waits."""
        return self.queue.sums.size > 0

    def observe(self, now_s: float, tokens: float = 0) -> None:
        """Measure the rate up to now; call before the queue changes."""
        self.meter.observe(now_s, self.has_requests and self.serving, tokens)

    def surplus_tokens(self) -> float:
        """Credit beyond the cost of the first slot request.

        Negative if the credit does not suffice, if no slot request waits, or
        without a guaranteed share.
        """
        first = self.queue.first()
        if first is None or self.floor_share == 0:
            return -1
        return self.credit_tokens - first.cost_tokens

    def add_credit(self, tokens: float) -> None:
        """Add credit, or charge it if ``tokens`` is negative.

        A rank that was granted more than its guaranteed share is in debt,
        and one without slot requests gathers credit. Both are limited to a
        few seconds' worth of tokens, so that neither starves the other ranks
        for long.
        """
        credit = min(self.credit_tokens + tokens, _MAX_CREDIT_TOKENS)
        self.credit_tokens = max(credit, -_MAX_DEBT_TOKENS)


def expected_wait_s(lane: Lane, ahead_tokens: float) -> float:
    """Return the time to serve tokens of a rank; zero if not measured yet."""
    per_s = lane.meter.per_s
    if ahead_tokens <= 0 or per_s <= 0:
        return 0
    return ahead_tokens / per_s


def newest_request(lane: Lane) -> QueuedSlotRequest | None:
    """Return the newest slot request of the workspace with the most, if any."""
    return newest_of_longest(lane.queue) if lane.has_requests else None


def drain(lane: Lane) -> Iterator[QueuedSlotRequest]:
    """Remove all slot requests and yield them."""
    while lane.has_requests:
        queued = lane.queue.first()
        if queued is not None:
            lane.queue.remove(queued)
            yield queued
