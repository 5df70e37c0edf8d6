"""Ways to choose a group by loads that are known late."""

from __future__ import annotations

import random
from collections.abc import Sequence

from cowslipstep.replay.late_loads._known import Known

_DRAWN = 2
# Groups of the subset that a daemon prefers.
_SUBSET = 8


def any_group(known: Known, rng: random.Random) -> int:
    """Return any group, whatever its load."""
    return rng.randrange(known.case.groups)


def least_loaded(known: Known, rng: random.Random) -> int:
    """Return the least loaded group."""
    return min(
        range(known.case.groups),
        key=lambda number: (known.loads[number], rng.random()),
    )


def two_random(known: Known, rng: random.Random) -> int:
    """Return the less loaded of two groups; the former decision."""
    return _least_of_two(range(known.case.groups), known.loads, rng)


def two_by_reports(known: Known, rng: random.Random) -> int:
    """Return the less loaded of two groups, without own newer requests."""
    return _least_of_two(range(known.case.groups), known.others, rng)


def of_subset(known: Known, rng: random.Random) -> int:
    """Return the less loaded of two groups of an own random subset.

    If both are full, the less loaded of two of all.
    """
    groups = range(known.case.groups)
    subset = random.Random(known.daemon).sample(
        groups, min(_SUBSET, len(groups))
    )
    chosen = _least_of_two(subset, known.loads, rng)
    if known.loads[chosen] < known.case.slots:
        return chosen
    return two_random(known, rng)


def by_free_slots(known: Known, rng: random.Random) -> int:
    """Draw a group in proportion to its free slots."""
    free = [max(0, known.case.slots - load) for load in known.loads]
    if not any(free):
        return least_loaded(known, rng)
    return rng.choices(range(known.case.groups), free)[0]


def _least_of_two(
    groups: Sequence[int], loads: Sequence[int], rng: random.Random
) -> int:
    drawn = rng.sample(groups, min(_DRAWN, len(groups)))
    return min(drawn, key=loads.__getitem__)
