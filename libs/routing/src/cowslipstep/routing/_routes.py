"""Which route a request takes and which workspace it belongs to."""

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
    """A request with the route, workspace and service that it belongs to."""

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
        The version.
    rng
        Divides requests among the backends of a route.
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
        """The version whose routes these are."""
        return self._configuration

    def route(self, request: CallerRequest) -> RoutedRequest:
        """Return the request with what it belongs to.

        Raises
        ------
        RequestError
            If there is no such route, or the key is unknown.
        """
        route = self._find(request)
        if route is None:
            raise RequestError(
                NotRun(Reason.not_found),
                'no route for this host and path',
                _NOT_FOUND,
            )
        holder = self._holder(request, route)
        return RoutedRequest(
            request,
            route,
            holder.workspace,
            route.rank if holder.rank is None else holder.rank,
            self._choose_service(route),
        )

    def _find(self, request: CallerRequest) -> Route | None:
        prefixes = self._routes.get(request.host, {})
        # Prefixes end with a slash, so only these beginnings can match.
        end = len(request.path)
        while end > 0:
            end = request.path.rfind('/', 0, end)
            route = prefixes.get(request.path[: end + 1])
            if route is not None:
                return route
        return None

    def _holder(self, request: CallerRequest, route: Route) -> KeyIdentity:
        if not self._configuration.keyed:
            return KeyIdentity('')
        holder = self._configuration.keys.get(request.key or '')
        if holder is not None:
            return holder
        if route.anonymous and request.key is None:
            return KeyIdentity('')
        raise RequestError(
            NotRun(Reason.unauthorized),
            'the key is unknown',
            _UNAUTHORIZED,
        )

    def _choose_service(self, route: Route) -> str:
        backends = route.backends
        if len(backends) == 1:
            return backends[0].service
        weights = [backend.weight for backend in backends]
        return self._rng.choices(backends, weights)[0].service
