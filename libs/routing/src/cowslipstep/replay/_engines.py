"""Model of a group's engine: slots and a queue by priority."""

from __future__ import annotations

import functools
import heapq
import itertools
from collections.abc import Callable

from cowslipstep.replay._fleet import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._prefix_cache import PrefixCache
from cowslipstep.replay._timeline import Timeline

_HIT_FACTOR = 0.2

Finished = Callable[[Outcome], None]


class Engine:
    """Runs requests for as long as their tokens take.

    Parameters
    ----------
    timeline
        Time of the replay.
    fleet
        Slots and speeds.
    slow_factor
        Multiplies the time of each request.

    Attributes
    ----------
    cache
        Its cache of prompt heads.
    """

    def __init__(
        self,
        timeline: Timeline,
        fleet: FleetModel,
        slow_factor: float = 1,
    ) -> None:
        self._timeline = timeline
        self._fleet = fleet
        self._slow_factor = slow_factor
        self._running = 0
        self.cache = PrefixCache(fleet.cached_prefixes)
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, Outcome, Finished]] = []

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self._running + len(self._waiting)

    @property
    def excess(self) -> int:
        """Requests that wait although they were granted a slot."""
        return len(self._waiting)

    def start(
        self,
        outcome: Outcome,
        finished: Finished,
        priority: int = 0,
    ) -> None:
        """Run a request when a slot is free."""
        order = next(self._order)
        heapq.heappush(self._waiting, (priority, order, outcome, finished))
        self._fill()

    def _fill(self) -> None:
        while self._waiting and self._running < self._fleet.slots:
            _, _, outcome, finished = heapq.heappop(self._waiting)
            now = self._timeline.clock()
            arrival = outcome.arrival
            if now - arrival.arrival_s > arrival.timeout_s:
                outcome.code = 'deadline'
                outcome.ended_s = now
                self._timeline.at(now, functools.partial(finished, outcome))
                continue
            self._run(outcome, finished)

    def _run(self, outcome: Outcome, finished: Finished) -> None:
        arrival = outcome.arrival
        now = self._timeline.clock()
        outcome.hit = self.cache.use(arrival.prefix_hash, now)
        unread_tokens = _unread_tokens(outcome)
        prefill_s = self._fleet.first_token_s(unread_tokens)
        held_s = self._fleet.held_s(unread_tokens, arrival.output_tokens)
        outcome.started_s = now
        outcome.first_token_s = now + prefill_s * self._slow_factor
        outcome.ended_s = now + held_s * self._slow_factor
        self._running += 1
        self._timeline.at(
            outcome.ended_s,
            lambda: self._end(outcome, finished),
        )

    def _end(self, outcome: Outcome, finished: Finished) -> None:
        self._running -= 1
        outcome.code = 'completed'
        finished(outcome)
        self._fill()


def _unread_tokens(outcome: Outcome) -> float:
    tokens = outcome.arrival.prompt_tokens
    return tokens * _HIT_FACTOR if outcome.hit else tokens
