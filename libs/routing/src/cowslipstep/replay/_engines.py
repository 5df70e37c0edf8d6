"""Model of a group's engine: slots and a priority queue."""

from __future__ import annotations

import functools
import heapq
import itertools
from collections.abc import Callable

from cowslipstep.replay._event_scheduler import EventScheduler
from cowslipstep.replay._fleet_model import FleetModel
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._prefix_cache import PrefixCache

_CACHED_PREFILL_FACTOR = 0.2

EndCallback = Callable[[Outcome], None]


class Engine:
    """Runs each request for the time that its prompt and tokens take.

    Parameters
    ----------
    scheduler
        Scheduler of the replay's events.
    fleet
        Model with the slots and speeds of an engine.
    slow_factor
        Factor on the time that each request takes.

    Attributes
    ----------
    cache
        Cache of prompt prefixes.
    """

    def __init__(
        self,
        scheduler: EventScheduler,
        fleet: FleetModel,
        slow_factor: float = 1,
    ) -> None:
        self._scheduler = scheduler
        self._fleet = fleet
        self._slow_factor = slow_factor
        self._running = 0
        self.cache = PrefixCache(fleet.cached_prefixes)
        self._sequence_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Outcome, EndCallback]] = []

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return self._running + len(self._waiting)

    @property
    def waiting_count(self) -> int:
        """Number of granted requests that wait for a free slot."""
        return len(self._waiting)

    def start(
        self,
        outcome: Outcome,
        on_end: EndCallback,
        priority: int = 0,
    ) -> None:
        """Queue a request; it runs as soon as a slot is free."""
        number = next(self._sequence_numbers)
        heapq.heappush(self._waiting, (priority, number, outcome, on_end))
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and self._running < self._fleet.slots:
            _, _, outcome, on_end = heapq.heappop(self._waiting)
            now_s = self._scheduler.clock()
            arrival = outcome.arrival
            if now_s - arrival.arrival_s > arrival.timeout_s:
                outcome.code = 'deadline'
                outcome.ended_s = now_s
                self._scheduler.schedule(
                    now_s, functools.partial(on_end, outcome)
                )
                continue
            self._run(outcome, on_end)

    def _run(self, outcome: Outcome, on_end: EndCallback) -> None:
        arrival = outcome.arrival
        now_s = self._scheduler.clock()
        outcome.hit = self.cache.access(arrival.prefix_hash, now_s)
        prefill_tokens = _prefill_tokens(outcome)
        first_token_delay_s = self._fleet.time_to_first_token_s(prefill_tokens)
        service_s = self._fleet.service_time_s(
            prefill_tokens, arrival.output_tokens
        )
        outcome.started_s = now_s
        outcome.first_token_s = now_s + first_token_delay_s * self._slow_factor
        outcome.ended_s = now_s + service_s * self._slow_factor
        self._running += 1
        self._scheduler.schedule(
            outcome.ended_s,
            lambda: self._end(outcome, on_end),
        )

    def _end(self, outcome: Outcome, on_end: EndCallback) -> None:
        self._running -= 1
        outcome.code = 'completed'
        on_end(outcome)
        self._start_waiting()


def _prefill_tokens(outcome: Outcome) -> float:
    tokens = outcome.arrival.prompt_tokens
    return tokens * _CACHED_PREFILL_FACTOR if outcome.hit else tokens
