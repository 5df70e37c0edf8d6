"""Routes, services and engines that a serving configuration names."""

from __future__ import annotations

import enum

from attrs import field, frozen


class RequestKind(enum.StrEnum):
    """What may be repeated of a request."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@frozen
class Backend:
    """A service that receives a part of a route's requests.

    Parameters
    ----------
    service
        Name of the service.
    weight
        Its part, relative to the weights of the route's other backends.
    """

    service: str
    weight: float = 1


@frozen
class Route:
    """How requests for a host name and a path prefix are served.

    Parameters
    ----------
    name
        Name of the route.
    host
        Host name in requests, without a port.
    path_prefix
        Beginning of the path; begins and ends with a slash.
    kind
        What may be repeated.
    backends
        Services that may run its requests.
    timeout_s
        Longest time that a request may take.
    objective_s
        Time within which a response counts as on time.
    rank
        Urgency; 0 is the most urgent.
    max_tries
        Upstreams to which one request may be sent.
    anonymous
        Whether requests need no key.
    resumable
        Whether a stream may go on at another upstream.
    max_gap_s
        Longest pause between events of a stream that is on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout_s: float
    objective_s: float
    rank: int = 0
    max_tries: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RequestKind.idempotent:
                return True
            case RequestKind.non_idempotent:
                return False
            case RequestKind.streaming:
                return self.resumable


@frozen
class ServedModel:
    """A model whose replicas are groups of runners.

    Parameters
    ----------
    name
        Name in requests and orders.
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
    form_s
        Time from the order to open a group until it serves.
    usual_output_tokens
        Mean number of tokens of an answer.
    """

    slots: int
    models: tuple[ServedModel, ...]
    step_s: float
    sequence_step_s: float
    prefill_tokens_per_s: float
    stride: int
    loads_per_s: float
    loads_at_once: int
    form_s: float
    usual_output_tokens: float

    def model(self, name: str) -> ServedModel | None:
        """Return the model of that name, if the service offers it."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@frozen
class ServedService:
    """A service of upstreams; one with an engine runs models."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """What a caller may send, and how long it may stay idle."""

    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@frozen
class KeyHolder:
    """The workspace that a key belongs to.

    ``rank`` goes before the rank of the route; ``None`` leaves it.
    """

    workspace: str
    rank: int | None = None


@frozen
class ServingConfiguration:
    """One version of the routes, services and keys in force."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServedService]
    limits: CallerLimits
    keys: dict[str, KeyHolder] = field(factory=dict)
    keyed: bool = False
