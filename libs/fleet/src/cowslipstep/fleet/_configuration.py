"""One version of what the operators configure."""

from __future__ import annotations

from attrs import field, frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._routes import Route


@frozen
class ServiceConfiguration:
    """A service of upstreams; one with an engine runs models."""

    name: str
    engine: EngineProfile | None = None


@frozen
class CallerLimits:
    """What a caller may send."""

    max_body_bytes: int


@frozen
class KeyIdentity:
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
    services: dict[str, ServiceConfiguration]
    limits: CallerLimits
    keys: dict[str, KeyIdentity] = field(factory=dict)
    keyed: bool = False
