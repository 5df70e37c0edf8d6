"""Routes: which services run which requests, and under which limits."""

from __future__ import annotations

import enum

from attrs import frozen


class RequestKind(enum.StrEnum):
    """Kinds of requests, by whether they may be sent again or are streams."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@frozen
class WeightedService:
    """A service that receives a share of a route's requests.

    Parameters
    ----------
    service
        Name of the service.
    weight
        Share of the requests, relative to the weights of the other services.
    """

    service: str
    weight: float = 1


@frozen
class Route:
    """Services and limits for requests to a host name and a path prefix.

    Parameters
    ----------
    name
        Name of the route.
    host
        Host name in requests, without a port.
    path_prefix
        Start of the path; begins and ends with a slash.
    kind
        Kind of its requests: whether they may be sent again or are streams.
    weighted_services
        Services that may run the route's requests.
    timeout_s
        Longest time that a request may take, seconds.
    objective_s
        Time to the first byte within which a response is on time, seconds.
    rank
        Urgency; 0 is the most urgent.
    max_attempts
        Largest number of attempts for one request, the first one included.
    anonymous
        Whether requests need no API key.
    resumable
        Whether a stream may resume at another upstream.
    max_gap_s
        Longest pause between events of a stream that is on time, seconds.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    rank: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 0

    @property
    def streaming(self) -> bool:
        """Whether responses are streams of events."""
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
