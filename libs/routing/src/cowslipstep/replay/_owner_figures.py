"""What two dispatchers of a cell at once cost."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from cowslipstep.replay._load_figures import goodput
from cowslipstep.replay._outcomes import Outcome
from cowslipstep.replay._rank_figures import urgent_in_time, urgent_p95_wait_s
from cowslipstep.replay._run import Run
from cowslipstep.replay._spec import Phase


@frozen
class OwnerCost:
    """Figures of the requests that arrived in the flood.

    Parameters
    ----------
    urgent_p95_s
        Wait for the first token.
    urgent_in_time
        Part of the urgent requests.
    over_admitted
        Part of the requests that waited at an engine for a granted slot.
    goodput
        Slot-seconds of requests begun in time.
    """

    urgent_p95_s: float
    urgent_in_time: float
    over_admitted: float
    goodput: float


def measure_owners(run: Run) -> OwnerCost:
    """Return the figures of a replayed trace."""
    flood = run.spec.flood
    return OwnerCost(
        urgent_p95_wait_s(run),
        urgent_in_time(run),
        _over_admitted(run.outcomes, flood),
        goodput(run.outcomes, flood),
    )


def _over_admitted(outcomes: Iterable[Outcome], flood: Phase) -> float:
    ran = [
        outcome
        for outcome in outcomes
        if outcome.ran
        and flood.start_s <= outcome.arrival.arrival_s < flood.end_s
    ]
    return sum(outcome.over_admitted for outcome in ran) / len(ran)
