"""Choice of a group by the expected time to the first event."""

from __future__ import annotations

import random
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.model import EngineProfile, ServedModel, ServingGroup

# A request waits for the step in progress before its prompt is read.
_MEAN_STRIDES = 1.5
# Spreads daemons that see the same loads over equal groups.
_JITTER_S = 0.01


@frozen
class GroupView:
    """A group as an entry sees it.

    Parameters
    ----------
    group
        The group.
    requests
        Requests in progress there, over all daemons.
    distance_s
        Network delay to it.
    """

    group: ServingGroup
    requests: int
    distance_s: float = 0


def first_event_s(
    view: GroupView,
    prompt_tokens: int,
    engine: EngineProfile,
    model: ServedModel,
) -> float:
    """Predict the time until the first event of a new request.

    Parameters
    ----------
    view
        The group.
    prompt_tokens
        Length of the prompt.
    engine
        Published times of the engine.
    model
        The model of the group.

    Returns
    -------
    float
        Seconds.
    """
    batch = min(view.requests + 1, engine.slots)
    step_s = engine.step_s + engine.sequence_step_s * batch
    prefill_s = prompt_tokens / engine.prefill_tokens_per_s
    waiting = max(0, view.requests + 1 - engine.slots)
    slot_s = step_s * engine.usual_output_tokens / engine.slots
    busy_s = waiting * slot_s + prefill_s
    return (
        model.pace * (busy_s + _MEAN_STRIDES * engine.stride * step_s)
        + 2 * view.distance_s
    )


def group_seconds(
    prompt_tokens: int,
    output_tokens: int,
    engine: EngineProfile,
    model: ServedModel,
) -> float:
    """Return the time for which a request keeps a full group busy.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt, whose reading holds up the whole batch.
    output_tokens
        Length of the answer, whose steps are shared by the batch.
    engine
        Published times of the engine.
    model
        The model that runs it.

    Returns
    -------
    float
        Seconds.
    """
    step_s = engine.step_s + engine.sequence_step_s * engine.slots
    prefill_s = prompt_tokens / engine.prefill_tokens_per_s
    return model.pace * (prefill_s + output_tokens * step_s / engine.slots)


def choose_group(
    views: Iterable[GroupView],
    prompt_tokens: int,
    engine: EngineProfile,
    model: ServedModel,
    rng: random.Random,
) -> tuple[GroupView, float] | None:
    """Return the group with the earliest first event, and that time.

    Returns ``None`` when there is no group.
    """
    timed = [
        (first_event_s(view, prompt_tokens, engine, model), view)
        for view in views
    ]
    if not timed:
        return None
    best_s, best = min(
        timed,
        key=lambda entry: entry[0] + rng.uniform(0, _JITTER_S),
    )
    return best, best_s
