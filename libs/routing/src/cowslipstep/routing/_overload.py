"""Admission control under overload: on time, best effort or refused.

Load pattern: bursts of urgent requests with an objective of a fraction of a
second on groups whose number shrinks and grows as hosts fail and return.
While requests can begin in time they are sent with the urgency of their
rank. Beyond that a few requests wait at each group as best effort: they use
slots that no request on time needs, and more urgent requests overtake them.
All others are refused at once, with the time after which a slot will
probably be free.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from cowslipstep.fleet import EngineProfile
from cowslipstep.routing._admission_decisions import (
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

# Best-effort requests that may wait at each group, as a share of its slots.
# Each may take a slot from a request that arrives a moment later and could
# have begun in time, so one is enough (see the replay in test_overload); this
# share allows one at groups of up to ten slots.
_BEST_EFFORT_SLOT_SHARE = 0.1
# Best-effort requests have this urgency level or a higher (less urgent) one.
BEST_EFFORT_URGENCY = 5
# Share of the objective that the predicted time may use; the rest allows for
# the way back to the caller and for load reports that arrive late.
_OBJECTIVE_SHARE = 0.9
# Limit of a random offset of predicted times, so that daemons with the same
# load reports choose different ones of equally loaded groups.
_TIE_JITTER_S = 0.01
_MIN_RETRY_S = 0.25
_MAX_RETRY_S = 1.5
# Random part of the retry delay, as a share of it, so that refused callers do
# not all return at the same time.
_RETRY_SPREAD_SHARE = 0.5


def admit_request(
    views: Iterable[GroupView],
    demand: RequestDemand,
    times: ModelTimes,
    rng: random.Random,
) -> Admission | None:
    """Choose the group for a request, or refuse the request.

    Returns ``None`` if there is no group.
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
        key=lambda entry: entry[0] + rng.uniform(0, _TIE_JITTER_S),
    )
    if best_s <= demand.objective_s * _OBJECTIVE_SHARE:
        return OnTime(best, best_s)
    fallback = _least_best_effort(timed, times.engine)
    if fallback is not None and fallback[0] < demand.remaining_s:
        return BestEffort(fallback[1], fallback[0])
    return Overloaded(_retry_delay_s(best_s, rng))


def _least_best_effort(
    timed: Iterable[tuple[float, GroupView]],
    engine: EngineProfile,
) -> tuple[float, GroupView] | None:
    max_waiting = _BEST_EFFORT_SLOT_SHARE * engine.slots
    return min(
        (
            entry
            for entry in timed
            if _best_effort_waiting(entry[1]) < max_waiting
        ),
        key=lambda entry: (_best_effort_waiting(entry[1]), entry[0]),
        default=None,
    )


def _best_effort_waiting(view: GroupView) -> int:
    return view.load.less_urgent_waiting(BEST_EFFORT_URGENCY - 1)


def _retry_delay_s(expected_s: float, rng: random.Random) -> float:
    bounded_s = min(max(expected_s, _MIN_RETRY_S), _MAX_RETRY_S)
    return bounded_s * (1 + rng.uniform(0, _RETRY_SPREAD_SHARE))
