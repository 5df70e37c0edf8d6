"""Choice among the groups where a request begins in time.

Load pattern: many daemons, each with few requests, whose reports on the load
of the groups are some 0.1 s old. Daemons that all take the least loaded group
meet there; daemons that take any fill some groups while others have slots.

References
----------
M. Mitzenmacher, "How Useful Is Old Information?", IEEE Transactions on Parallel
and Distributed Systems 11(1), 2000.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from attrs import frozen

from cowslipstep.routing._first_event import GroupView

_DRAWN = 2


@frozen
class TimedGroup:
    """A group, and the predicted time to the first event there, seconds."""

    expected_s: float
    view: GroupView


ChooseGroup = Callable[[Sequence[TimedGroup], random.Random], TimedGroup]


def less_loaded_of_two(
    on_time: Sequence[TimedGroup], rng: random.Random
) -> TimedGroup:
    """Return the less loaded of two groups that are drawn at random."""
    drawn = rng.sample(on_time, min(_DRAWN, len(on_time)))
    return min(
        drawn, key=lambda entry: (entry.view.load.requests, entry.expected_s)
    )
