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
from cowslipstep.routing._placement import (
    ChooseGroup,
    TimedGroup,
    less_loaded_of_two,
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
    choose: ChooseGroup = less_loaded_of_two,
) -> Admission | None:
    """Choose the group for a request, or refuse the request.

    Returns ``None`` if there is no group.

    Parameters
    ----------
    views
        The groups of the model.
    demand
        The request.
    times
        Times of the groups.
    rng
        Source of random choices.
    choose
        Chooses among the groups where the request begins in time.
    """
    timed = [
        TimedGroup(
            first_event_s(view, demand.prompt_tokens, demand.urgency, times),
            view,
        )
        for view in views
    ]
    if not timed:
        return None
    limit_s = demand.objective_s * _OBJECTIVE_SHARE
    on_time = [entry for entry in timed if entry.expected_s <= limit_s]
    if on_time:
        chosen = choose(on_time, rng)
        return OnTime(chosen.view, chosen.expected_s)
    fallback = _least_best_effort(timed, times.engine)
    if fallback is not None and fallback.expected_s < demand.remaining_s:
        return BestEffort(fallback.view, fallback.expected_s)
    return Overloaded(
        _retry_delay_s(min(entry.expected_s for entry in timed), rng)
    )


def _least_best_effort(
    timed: Iterable[TimedGroup],
    engine: EngineProfile,
) -> TimedGroup | None:
    max_waiting = _BEST_EFFORT_SLOT_SHARE * engine.slots
    return min(
        (
            entry
            for entry in timed
            if _best_effort_waiting(entry.view) < max_waiting
        ),
        key=lambda entry: (_best_effort_waiting(entry.view), entry.expected_s),
        default=None,
    )


def _best_effort_waiting(view: GroupView) -> int:
    return view.load.less_urgent_waiting(BEST_EFFORT_URGENCY - 1)


def _retry_delay_s(expected_s: float, rng: random.Random) -> float:
    bounded_s = min(max(expected_s, _MIN_RETRY_S), _MAX_RETRY_S)
    return bounded_s * (1 + rng.uniform(0, _RETRY_SPREAD_SHARE))
