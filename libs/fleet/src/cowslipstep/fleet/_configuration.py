"""Configuration of routes, services and keys, set by the operators."""

from __future__ import annotations

from attrs import field, frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._routes import Route


@frozen
class ServiceConfiguration:
    """A service of upstreams; it serves models if it has an engine."""

    name: str
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """Limits on the requests of callers."""

    max_body_bytes: int


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
