"""Admission under load: who goes first, who stands by, who is refused.

Load pattern: bursts of urgent requests with an objective of a fraction of a
second on groups whose number shrinks and grows as hosts fail and return.
While requests can begin in time they are sent with the urgency of their
rank. Beyond that a few stand by at each group: they use the slots that
nobody needs in time, and more urgent requests pass them. All others are
refused at once and told when a slot is likely to be free.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from cowslipstep.fleet import EngineProfile
from cowslipstep.routing._admissions import (
    Admission,
    BestEffort,
    OnTime,
    Overloaded,
    RequestDemand,
)
from cowslipstep.routing._first_event import (
    GroupView,
    ModelTimes,
    first_event_s,
)

# Requests that wait for a free slot at each group without being on time, as
# a part of its slots. Each takes a slot from a request that could begin in
# time a moment later, so that one is enough (replay in test_overload).
_STANDBY_SHARE = 0.1
# Requests that stand by have this urgency and more.
BEST_EFFORT_URGENCY = 5
# Left for the way back and for reports that are late.
_ON_TIME_SHARE = 0.9
# Spreads daemons that see the same loads over equal groups.
_JITTER_S = 0.01
_MIN_RETRY_S = 0.25
_MAX_RETRY_S = 1.5
# Returns are spread over this part of the delay.
_RETRY_SPREAD = 0.5


def admit_request(
    views: Iterable[GroupView],
    demand: RequestDemand,
    times: ModelTimes,
    rng: random.Random,
) -> Admission | None:
    """Decide where a request goes, if anywhere.

    Returns ``None`` when there is no group.
    """
    timed = [
        (
            first_event_s(view, demand.prompt_tokens, demand.urgency, times),
            view,
        )
        for view in views
    ]
    if not timed:
        return None
    best_s, best = min(
        timed,
        key=lambda entry: entry[0] + rng.uniform(0, _JITTER_S),
    )
    if best_s <= demand.objective_s * _ON_TIME_SHARE:
        return OnTime(best, best_s)
    room = _least_standby(timed, times.engine)
    if room is not None and room[0] < demand.remaining_s:
        return BestEffort(room[1], room[0])
    return Overloaded(_spread(best_s, rng))


def _least_standby(
    timed: Iterable[tuple[float, GroupView]],
    engine: EngineProfile,
) -> tuple[float, GroupView] | None:
    most = _STANDBY_SHARE * engine.slots
    return min(
        (entry for entry in timed if _standby(entry[1]) < most),
        key=lambda entry: (_standby(entry[1]), entry[0]),
        default=None,
    )


def _standby(view: GroupView) -> int:
    return view.load.less_urgent_waiting(BEST_EFFORT_URGENCY - 1)


def _spread(delay_s: float, rng: random.Random) -> float:
    bounded_s = min(max(delay_s, _MIN_RETRY_S), _MAX_RETRY_S)
    return bounded_s * (1 + rng.uniform(0, _RETRY_SPREAD))
