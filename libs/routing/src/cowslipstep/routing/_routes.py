"""Route, workspace and service of a caller's request."""

from __future__ import annotations

import random

from attrs import frozen

from cowslipstep.fleet import (
    CallerRequest,
    KeyIdentity,
    Route,
    ServingConfiguration,
)
from cowslipstep.model import NotRun, Reason, RequestError

_UNAUTHORIZED = 401
_NOT_FOUND = 404


@frozen
class RoutedRequest:
    """A request with its route, workspace, rank and service."""

    request: CallerRequest
    route: Route
    workspace: str
    rank: int
    service: str


class RouteTable:
    """Routes of one version of the configuration, by host name.

    Parameters
    ----------
    configuration
        The version of the configuration.
    rng
        Divides requests among the services of a route by their weights.
    """

    def __init__(
        self,
        configuration: ServingConfiguration,
        rng: random.Random,
    ) -> None:
        self._configuration = configuration
        self._rng = rng
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route

    @property
    def configuration(self) -> ServingConfiguration:
        """The version of the configuration that has these routes."""
        return self._configuration

    def route(self, request: CallerRequest) -> RoutedRequest:
        """Return the request with its route, workspace, rank and service.

        Raises
        ------
        RequestError
            If no route matches host and path, or the API key is unknown.
        """
        route = self._find(request)
        if route is None:
            raise RequestError(
                NotRun(Reason.not_found),
                'no route for this host and path',
                _NOT_FOUND,
            )
        identity = self._identify(request, route)
        return RoutedRequest(
            request,
            route,
            identity.workspace,
            route.rank if identity.rank is None else identity.rank,
            self._choose_service(route),
        )

    def _find(self, request: CallerRequest) -> Route | None:
        prefixes = self._routes.get(request.host, {})
        # Prefixes end with a slash, so only parts of the path up to a slash
        # can match; the longest one wins.
        end = len(request.path)
        while end > 0:
            end = request.path.rfind('/', 0, end)
            route = prefixes.get(request.path[: end + 1])
            if route is not None:
                return route
        return None

    def _identify(self, request: CallerRequest, route: Route) -> KeyIdentity:
        if not self._configuration.requires_keys:
            return KeyIdentity('')
        identity = self._configuration.keys.get(request.key or '')
        if identity is not None:
            return identity
        if route.anonymous and request.key is None:
            return KeyIdentity('')
        raise RequestError(
            NotRun(Reason.unauthorized),
            'expected the API key of a workspace, got none or an unknown one',
            _UNAUTHORIZED,
        )

    def _choose_service(self, route: Route) -> str:
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        weights = [service.weight for service in services]
        return self._rng.choices(services, weights)[0].service
