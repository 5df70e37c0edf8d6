"""Cost of a period in which two dispatchers grant the slots of a cell."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from cowslipstep.replay._load_figures import goodput
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._rank_figures import urgent_in_time, urgent_p95_wait_s
from cowslipstep.replay._replayed_trace import ReplayedTrace
from cowslipstep.replay._spec import Phase


@frozen
class OwnerCost:
    """Figures of the flood; goodput counts starts, the others arrivals in it.

    Parameters
    ----------
    urgent_p95_s
        95th percentile of the wait of urgent requests for the first token.
    urgent_in_time
        Share of the urgent requests that met their timeout.
    over_admitted
        Share of the completed requests whose granted slot was not free.
    goodput
        Slot-seconds of requests that started in the flood and met their
        timeout.
    """

    urgent_p95_s: float
    urgent_in_time: float
    over_admitted: float
    goodput: float


def measure_owner_cost(run: ReplayedTrace) -> OwnerCost:
    """Measure a replayed trace."""
    flood = run.spec.flood
    return OwnerCost(
        urgent_p95_wait_s(run),
        urgent_in_time(run),
        _over_admitted(run.outcomes, flood),
        goodput(run.outcomes, flood),
    )


def _over_admitted(outcomes: Iterable[Outcome], flood: Phase) -> float:
    completed = [
        outcome
        for outcome in outcomes
        if outcome.completed
        and flood.start_s <= outcome.arrival.arrival_s < flood.end_s
    ]
    return sum(outcome.over_admitted for outcome in completed) / len(completed)
