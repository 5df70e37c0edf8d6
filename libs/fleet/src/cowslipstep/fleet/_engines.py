"""Models, and the times and limits of the engines that serve them."""

from __future__ import annotations

from attrs import frozen


@frozen
class ModelProfile:
    """A model whose replicas are groups of runners.

    Parameters
    ----------
    name
        Name of the model in requests and commands.
    group_size
        Number of runners in a group.
    time_factor
        Factor by which the engine's times are multiplied for this model.
    share
        Expected share of the requests.
    load_s
        Time to load the weights from the weight store, seconds.
    staged_load_s
        Time to load weights that are staged on the host, seconds.
    """

    name: str
    group_size: int
    time_factor: float = 1
    share: float = 1
    load_s: float = 0
    staged_load_s: float = 0


@frozen
class ServedModel:
    """A model as one service serves it.

    Parameters
    ----------
    service
        The service.
    model
        Name of the model, unique within the service.
    """

    service: str
    model: str


@frozen
class EngineProfile:
    """Times and limits that a service's engines publish.

    Parameters
    ----------
    slots
        Requests that a group runs at once.
    models
        Models that the service offers.
    step_s
        Time of one token step of an empty batch, seconds.
    sequence_step_s
        Time that each request in the batch adds to a step, seconds.
    prefill_tokens_per_s
        Prompt tokens that are processed per second.
    stride
        Number of token steps between two admissions to the batch.
    loads_per_s
        Loads of weights that may start per second.
    loads_at_once
        Number of concurrent loads of weights that do not slow each other down.
    usual_output_tokens
        Mean number of tokens of a response.
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
        """Return the model with that name; ``None`` if it is not offered."""
        for model in self.models:
            if model.name == name:
                return model
        return None
