"""Models and what the engines that serve them publish."""

from __future__ import annotations

from attrs import frozen


@frozen
class ModelProfile:
    """A model whose replicas are groups of runners.

    Parameters
    ----------
    name
        Name in requests and commands.
    group_size
        Runners of a group.
    pace
        Factor on all times of the engine.
    share
        Expected part of the requests.
    load_s
        Time to load its weights from the weight store.
    warm_s
        Time to load them from the host.
    """

    name: str
    group_size: int
    pace: float = 1
    share: float = 1
    load_s: float = 0
    warm_s: float = 0


@frozen
class EngineProfile:
    """Times and limits that a service's engines publish.

    Parameters
    ----------
    slots
        Requests that a group runs at once.
    models
        The models that the service offers.
    step_s
        Time of one token step of an idle batch.
    sequence_step_s
        Time that each request in the batch adds to a step.
    prefill_tokens_per_s
        Prompt tokens read in a second.
    stride
        Token steps between two admissions to the batch.
    loads_per_s
        Loads of weights that may start in a second.
    loads_at_once
        Loads of weights that do not slow each other down.
    usual_output_tokens
        Mean number of tokens of an answer.
    """

    slots: int
    models: tuple[ModelProfile, ...]
    step_s: float
    sequence_step_s: float
    prefill_tokens_per_s: float
    stride: int
    loads_per_s: float
    loads_at_once: int
    usual_output_tokens: float

    def model(self, name: str) -> ModelProfile | None:
        """Return the model of that name, if the service offers it."""
        for model in self.models:
            if model.name == name:
                return model
        return None
