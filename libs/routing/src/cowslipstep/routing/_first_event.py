"""Expected time to the first event of a request, and its work."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.model import (
    EngineProfile,
    ServedModel,
    ServingGroup,
    UpstreamLoad,
)

# A request waits for the step in progress before its prompt is read.
_MEAN_STRIDES = 1.5


@frozen
class GroupView:
    """A group as an entry sees it.

    Parameters
    ----------
    group
        The group.
    load
        Requests in progress there, over all daemons.
    distance_s
        Network delay to it.
    """

    group: ServingGroup
    load: UpstreamLoad
    distance_s: float = 0


def first_event_s(
    view: GroupView,
    prompt_tokens: int,
    urgency: int,
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
    urgency
        Its place in the queue; requests that are less urgent wait for it.
    engine
        Published times of the engine.
    model
        The model of the group.

    Returns
    -------
    float
        Seconds.
    """
    ahead = view.load.requests - view.load.behind(urgency)
    batch = min(ahead + 1, engine.slots)
    step_s = engine.step_s + engine.sequence_step_s * batch
    prefill_s = prompt_tokens / engine.prefill_tokens_per_s
    waiting = max(0, ahead + 1 - engine.slots)
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
