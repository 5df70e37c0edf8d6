"""One rank of the queue of a cell."""

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
    """Asks of one rank, and the tokens that its floor still owes it.

    Attributes
    ----------
    asks
        Its asks.
    meter
        Measures how fast it is served while asks wait.
    floor_share
        Share of all granted tokens that it is owed.
    max_wait_s
        Longest estimated wait of an ask that is admitted.
    owed_tokens
        Tokens that its floor owes it; negative if it is ahead.
    reserve
        Free slots kept in it.
    serving
        Whether groups serve with all their slots; other times say nothing
        of the rate at which the rank is served.
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
        """Whether an ask waits."""
        return self.queue.sums.size > 0

    def observe(self, now_s: float, tokens: float = 0) -> None:
        """Measure the rate up to now; call before the queue changes."""
        self.meter.observe(now_s, self.has_requests and self.serving, tokens)

    def surplus_tokens(self) -> float:
        """Tokens owed beyond the cost of the first ask; negative if less."""
        first = self.queue.first()
        if first is None or self.floor_share == 0:
            return -1
        return self.credit_tokens - first.cost_tokens

    def add_credit(self, tokens: float) -> None:
        """Credit tokens, or charge them if negative.

        What was served beyond the floor counts against it, and so does what
        was not asked for, but only as far as a few seconds' worth.
        """
        owed = min(self.credit_tokens + tokens, _MAX_CREDIT_TOKENS)
        self.credit_tokens = max(owed, -_MAX_DEBT_TOKENS)


def expected_wait_s(lane: Lane, ahead_tokens: float) -> float:
    """Return the time to serve tokens of this rank; zero if unmeasured."""
    per_s = lane.meter.per_s
    if ahead_tokens <= 0 or per_s <= 0:
        return 0
    return ahead_tokens / per_s


def newest_request(lane: Lane) -> QueuedSlotRequest | None:
    """Return the newest ask of the workspace with the most asks, if any."""
    return newest_of_longest(lane.queue) if lane.has_requests else None


def drain(lane: Lane) -> Iterator[QueuedSlotRequest]:
    """Take all asks out and yield them."""
    while lane.has_requests:
        queued = lane.queue.first()
        if queued is not None:
            lane.queue.remove(queued)
            yield queued
