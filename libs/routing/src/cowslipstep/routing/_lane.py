"""One rank of the queue of a cell."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, field

from cowslipstep.routing._fair_queue import FairQueue, newest_of_longest
from cowslipstep.routing._headroom import Reserve
from cowslipstep.routing._rates import BusyMeter
from cowslipstep.routing._views import QueuedAsk

_MOST_OWED_TOKENS = 8000
_MOST_AHEAD_TOKENS = 4000


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

    asks: FairQueue
    meter: BusyMeter
    floor_share: float = 0
    max_wait_s: float = 0
    owed_tokens: float = 0
    reserve: Reserve = field(factory=Reserve)
    serving: bool = True

    @property
    def busy(self) -> bool:
        """Whether an ask waits."""
        return self.asks.sums.size > 0

    def observe(self, now_s: float, tokens: float = 0) -> None:
        """Measure the rate up to now; call before the queue changes."""
        self.meter.observe(now_s, self.busy and self.serving, tokens)

    def surplus(self) -> float:
        """Tokens owed beyond the cost of the first ask; negative if less."""
        first = self.asks.first()
        if first is None or self.floor_share == 0:
            return -1
        return self.owed_tokens - first.cost_tokens

    def settle(self, tokens: float) -> None:
        """Credit tokens, or charge them if negative.

        What was served beyond the floor counts against it, and so does what
        was not asked for, but only as far as a few seconds' worth.
        """
        owed = min(self.owed_tokens + tokens, _MOST_OWED_TOKENS)
        self.owed_tokens = max(owed, -_MOST_AHEAD_TOKENS)


def expected_wait_s(lane: Lane, ahead_tokens: float) -> float:
    """Return the time to serve tokens of this rank; zero if unmeasured."""
    per_s = lane.meter.per_s
    if ahead_tokens <= 0 or per_s <= 0:
        return 0
    return ahead_tokens / per_s


def newest_ask(lane: Lane) -> QueuedAsk | None:
    """Return the newest ask of the workspace with the most asks, if any."""
    return newest_of_longest(lane.asks) if lane.busy else None


def drain(lane: Lane) -> Iterator[QueuedAsk]:
    """Take all asks out and yield them."""
    while lane.busy:
        queued = lane.asks.first()
        if queued is not None:
            lane.asks.remove(queued)
            yield queued
