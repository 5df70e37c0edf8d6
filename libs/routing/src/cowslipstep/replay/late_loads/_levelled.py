"""Choice by an estimate of what others have sent since the report."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cowslipstep.replay.late_loads._known import Known


def levelled(known: Known, rng: random.Random) -> int:
    """Draw so that the arrivals since the report level the loads.

    The interpretation of M. Dahlin: the arrivals of others since the report
    are estimated from their rate and the age of the report.
    """
    unseen = known.others_per_s * known.age_s + 1
    weights = _level_weights(known.loads, unseen)
    return rng.choices(range(known.case.groups), weights)[0]


def _level_weights(loads: Sequence[int], arrivals: float) -> list[float]:
    """Return how much each group lacks to the level after the arrivals."""
    level = _level(sorted(loads), arrivals)
    return [max(0, level - load) for load in loads]


def _level(ordered: Sequence[int], arrivals: float) -> float:
    """Return the load of the least loaded groups after the arrivals."""
    level, filled = arrivals + ordered[0], 0
    for count, load in enumerate(ordered, start=1):
        filled += load
        level = min(level, (filled + arrivals) / count)
    return level
