"""Expected time to the first event of a request, and its work."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.fleet import EngineProfile, ModelProfile, ServingGroup
from cowslipstep.model.loads import UpstreamLoad
from cowslipstep.routing._usual_requests import UsualRequest

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


@frozen
class ModelTimes:
    """What decides how fast the groups of a model serve.

    Parameters
    ----------
    engine
        Published times of the engine.
    model
        The model.
    usual
        Its usual request.
    """

    engine: EngineProfile
    model: ModelProfile
    usual: UsualRequest

    def step_s(self, batch: int) -> float:
        """Return the time of one token step, without the model's pace."""
        return self.engine.step_s + self.engine.sequence_step_s * batch

    def entry_s(self, batch: int) -> float:
        """Return the time from admission to a batch until the first event."""
        step_s = self.step_s(min(batch, self.engine.slots))
        return _MEAN_STRIDES * self.engine.stride * step_s

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the time to read a prompt, without the model's pace."""
        return prompt_tokens / self.engine.prefill_tokens_per_s

    @property
    def slot_s(self) -> float:
        """Mean time between two slots of a full group that become free."""
        slots = self.engine.slots
        shared_s = self.step_s(slots) * self.usual.output_tokens / slots
        return shared_s + self.prefill_s(self.usual.prompt_tokens)


def first_event_s(
    view: GroupView,
    prompt_tokens: int,
    urgency: int,
    times: ModelTimes,
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
    times
        How fast the groups of its model serve.

    Returns
    -------
    float
        Seconds.
    """
    batch = view.load.requests - view.load.less_urgent_waiting(urgency) + 1
    waiting = max(0, batch - times.engine.slots)
    own_s = times.prefill_s(prompt_tokens) + times.entry_s(batch)
    distance_s = 2 * view.distance_s
    return distance_s + times.model.pace * (waiting * times.slot_s + own_s)


def group_seconds(
    prompt_tokens: int,
    output_tokens: int,
    engine: EngineProfile,
    model: ModelProfile,
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
    usual = UsualRequest(prompt_tokens, output_tokens)
    return model.pace * ModelTimes(engine, model, usual).slot_s
