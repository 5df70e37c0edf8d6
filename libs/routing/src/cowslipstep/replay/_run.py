"""A replayed trace and simple figures of it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from attrs import frozen

from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import Phase, TraceSpec
from cowslipstep.replay._statistics import percentile

_P95 = 0.95

Replay = Callable[[TraceSpec], list[Outcome]]


@frozen
class Run:
    """A replayed trace, and how to replay a changed one the same way."""

    spec: TraceSpec
    outcomes: list[Outcome]
    replay: Replay

    def arrived(
        self,
        rank: str,
        start_s: float,
        end_s: float,
    ) -> list[Outcome]:
        """Outcomes of the requests of a rank that arrived in a time."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.arrival.rank == rank
            and start_s <= outcome.arrival.arrival_s < end_s
        ]


def in_flood(run: Run, rank: str) -> list[Outcome]:
    """Return the outcomes of a rank that arrived in the flood."""
    return run.arrived(rank, run.spec.flood.start_s, run.spec.flood.end_s)


def p95_wait_s(outcomes: Iterable[Outcome]) -> float:
    """Return the p95 wait; a request that was not run waits for ever."""
    waits = (
        outcome.wait_s if outcome.ran else math.inf for outcome in outcomes
    )
    return percentile(waits, _P95)


def in_time_share(outcomes: list[Outcome]) -> float:
    """Return the share of requests whose first token came in time."""
    return sum(outcome.in_time for outcome in outcomes) / len(outcomes)


def started_in(outcome: Outcome, phase: Phase) -> bool:
    """Return whether a request was granted its slot in a time."""
    return phase.start_s <= outcome.started_s < phase.end_s
