"""Routes: which requests go to which services, and how."""

from __future__ import annotations

import enum

from attrs import frozen


class RequestKind(enum.StrEnum):
    """What may be repeated of a request."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@frozen
class WeightedService:
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
    backends: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    rank: int = 0
    max_tries: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 0

    @property
    def streaming(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind is RequestKind.streaming

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
