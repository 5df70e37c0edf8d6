"""Predicted time to the first event of a response, and work of a request."""

from __future__ import annotations

from attrs import frozen

from cowslipstep.fleet import EngineProfile, ModelProfile, ServingGroup
from cowslipstep.model.loads import UpstreamLoad
from cowslipstep.routing._usual_requests import UsualRequest

# Mean time until the first event, in strides (token steps between two
# admissions to a batch): a request waits for the step in progress before its
# prompt is read.
_MEAN_ENTRY_STRIDES = 1.5


@frozen
class GroupView:
    """A group as seen by the daemon that received the request.

    Parameters
    ----------
    group
        The group.
    load
        Requests in progress there, summed over all daemons.
    distance_s
        One-way network delay from this daemon to the group, seconds.
    own_requests
        Those requests in progress there that this daemon sent.
    """

    group: ServingGroup
    load: UpstreamLoad
    distance_s: float = 0
    own_requests: int = 0


@frozen
class ModelTimes:
    """Times that decide how fast the groups of a model serve requests.

    Parameters
    ----------
    engine
        Times that the engine publishes.
    model
        The model.
    usual
        Mean request for the model.
    """

    engine: EngineProfile
    model: ModelProfile
    usual: UsualRequest

    def step_s(self, batch: int) -> float:
        """Return the time of one token step of a batch, at time factor 1."""
        return self.engine.step_s + self.engine.sequence_step_s * batch

    def batch_entry_s(self, batch: int) -> float:
        """Return the time from admission to a batch until the first event.

        The time to read the prompt comes in addition. The result holds at
        time factor 1.
        """
        step_s = self.step_s(min(batch, self.engine.slots))
        return _MEAN_ENTRY_STRIDES * self.engine.stride * step_s

    def prefill_s(self, prompt_tokens: float) -> float:
        """Return the time to read a prompt, at time factor 1."""
        return prompt_tokens / self.engine.prefill_tokens_per_s

    @property
    def usual_held_s(self) -> float:
        """Mean time for which a request is in progress, seconds."""
        step_s = self.step_s(self.engine.slots)
        own_s = step_s * self.usual.output_tokens
        return self.model.time_factor * (
            self.prefill_s(self.usual.prompt_tokens) + own_s
        )

    @property
    def slot_interval_s(self) -> float:
        """Mean time until the next slot of a full group becomes free."""
        slots = self.engine.slots
        shared_s = self.step_s(slots) * self.usual.output_tokens / slots
        return shared_s + self.prefill_s(self.usual.prompt_tokens)


def first_event_s(
    view: GroupView,
    prompt_tokens: int,
    urgency: int,
    times: ModelTimes,
) -> float:
    """Predict the time until the first event of a new request's response.

    Parameters
    ----------
    view
        The group.
    prompt_tokens
        Length of the prompt.
    urgency
        Urgency level of the request; less urgent requests that wait in the
        group's queue do not delay it.
    times
        Times of the groups of the model.

    Returns
    -------
    float
        Seconds.
    """
    batch = view.load.requests - view.load.less_urgent_waiting(urgency) + 1
    waiting = max(0, batch - times.engine.slots)
    own_s = times.prefill_s(prompt_tokens) + times.batch_entry_s(batch)
    distance_s = 2 * view.distance_s
    return distance_s + times.model.time_factor * (
        waiting * times.slot_interval_s + own_s
    )


def group_busy_s(
    prompt_tokens: int,
    output_tokens: int,
    engine: EngineProfile,
    model: ModelProfile,
) -> float:
    """Return the time for which a request keeps a full group busy.

    Parameters
    ----------
    prompt_tokens
        Length of the prompt; the whole batch is delayed while it is read.
    output_tokens
        Length of the response; its steps are shared by the whole batch.
    engine
        Times that the engine publishes.
    model
        The model that the request is for.

    Returns
    -------
    float
        Seconds.
    """
    usual = UsualRequest(prompt_tokens, output_tokens)
    return model.time_factor * ModelTimes(engine, model, usual).slot_interval_s
