"""A replayed trace and figures that other measures use."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from attrs import frozen

from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._spec import Phase, TraceSpec
from cowslipstep.replay._statistics import percentile

_P95 = 0.95

ReplayFunction = Callable[[TraceSpec], list[Outcome]]


@frozen
class ReplayedTrace:
    """A replayed trace, with the function that replays a changed one."""

    spec: TraceSpec
    outcomes: list[Outcome]
    replay: ReplayFunction

    def outcomes_of(
        self,
        rank: str,
        start_s: float,
        end_s: float,
    ) -> list[Outcome]:
        """Return outcomes of a rank's requests that arrived in a period."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.arrival.rank == rank
            and start_s <= outcome.arrival.arrival_s < end_s
        ]


def flood_outcomes(run: ReplayedTrace, rank: str) -> list[Outcome]:
    """Return the outcomes of requests of a rank that arrived in the flood."""
    return run.outcomes_of(rank, run.spec.flood.start_s, run.spec.flood.end_s)


def p95_wait_s(outcomes: Iterable[Outcome]) -> float:
    """Return the p95 wait; infinite for a request that did not complete."""
    waits = (
        outcome.wait_s if outcome.completed else math.inf
        for outcome in outcomes
    )
    return percentile(waits, _P95)


def in_time_share(outcomes: list[Outcome]) -> float:
    """Return the share of requests whose first token came in time."""
    return sum(outcome.in_time for outcome in outcomes) / len(outcomes)


def started_in(outcome: Outcome, phase: Phase) -> bool:
    """Return whether an engine started a request in a phase."""
    return phase.start_s <= outcome.started_s < phase.end_s
