"""Which of several groups a request is sent to.

Load patterns: a few daemons that learn of each request within a tenth of a
second, and hundreds of daemons that learn of it within half a second. Where
loads are old, daemons that choose the least loaded group all choose the same
one, and its queue grows while other groups have free slots.

References
----------
M. Mitzenmacher, "How useful is old information?", IEEE Transactions on Parallel
and Distributed Systems 11(1), 2000.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from attrs import frozen

from cowslipstep.routing._first_event import GroupView

# Limit of a random offset of predicted times, so that daemons with the same
# load reports choose different ones of equally loaded groups.
_TIE_JITTER_S = 0.01

TimedView = tuple[float, GroupView]


@frozen
class LeastTime:
    """Choose the group with the earliest predicted first event."""


@frozen
class ByFreeSlots:
    """Choose a group at random, in proportion to its free slots.

    Parameters
    ----------
    slots
        Requests that a group runs at once.
    """

    slots: int


Placement = LeastTime | ByFreeSlots


def choose_view(
    timed: Sequence[TimedView], placement: Placement, rng: random.Random
) -> TimedView:
    """Return one of the groups, each with its predicted time in seconds.

    Groups without a free slot are chosen only if all are full, and then by
    their predicted times.
    """
    match placement:
        case ByFreeSlots(slots):
            free = [_free_slots(view, slots) for _, view in timed]
            if any(free):
                return rng.choices(timed, free)[0]
    return min(timed, key=lambda entry: entry[0] + _tie_jitter_s(rng))


def _free_slots(view: GroupView, slots: int) -> int:
    return max(0, slots - view.load.requests)


def _tie_jitter_s(rng: random.Random) -> float:
    return rng.uniform(0, _TIE_JITTER_S)
