"""Configuration of routes, services and keys, set by the operators."""

from __future__ import annotations

from attrs import field, frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._routes import Route


@frozen
class ColdStart:
    """How runners of a service are to be used after they start.

    Parameters
    ----------
    duration_s
        Time for which a runner is cold, seconds.
    per_s
        Requests a second that a cold runner can bear.
    """

    duration_s: float
    per_s: float


@frozen
class ServiceConfiguration:
    """A service of upstreams; it serves models if it has an engine.

    Its cold runners have no limit if ``cold`` is ``None``.
    """

    name: str
    engine: EngineProfile | None = None
    cold: ColdStart | None = None


@frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    max_body_bytes
        Largest body of a request.
    idle_timeout_s
        Time after which an idle connection is closed, seconds.
    head_timeout_s
        Time that the head of a request may take, seconds.
    max_head_bytes
        Longest head of a request, without the request line.
    """

    max_body_bytes: int = 4194304
    idle_timeout_s: float = 60
    head_timeout_s: float = 60
    max_head_bytes: int = 65536


@frozen
class KeyIdentity:
    """Workspace and rank of the requests that carry an API key.

    ``rank`` overrides the rank of the route; ``None`` does not.
    """

    workspace: str
    rank: int | None = None


@frozen
class ServingConfiguration:
    """One version of the configuration of routes, services and keys.

    If ``requires_keys`` is set, requests need the API key of a workspace,
    except on routes that allow anonymous requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceConfiguration]
    limits: CallerLimits
    keys: dict[str, KeyIdentity] = field(factory=dict)
    requires_keys: bool = False
