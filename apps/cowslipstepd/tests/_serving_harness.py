"""Serves routes over real sockets, before runners that follow a script.

The harness needs a process whose standard library is patched, so a test calls
the function that uses it by ``in_green_process``.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import eventlet
from _callers import Caller, Received
from _engine_cases import engine_of
from _header_dialect import MODEL, HeaderDialect
from _route_cases import ROUTE
from _scripted_runners import Script, ScriptedRunners
from attrs import evolve, frozen

from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.fleet import (
    CallerLimits,
    DiscoveredRunner,
    GroupPosition,
    MemberState,
    ModelProfile,
    RequestKind,
    Route,
    ServiceConfiguration,
    ServingConfiguration,
    WeightedService,
)
from cowslipstep.model import Address
from cowslipstep.platform._text_dialect import TEXT_DIALECT
from cowslipstep.serving._applications import CallerApplication
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._metrics import RequestMetrics
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingBounds, ServingSettings

ENGINES = 'engines'
PLAIN = 'drafting'
REPEATABLE = evolve(ROUTE, max_attempts=2)
ONCE = evolve(
    ROUTE, name='once', path_prefix='/once/', kind=RequestKind.non_idempotent
)
STREAM = evolve(
    ROUTE,
    name='stream',
    path_prefix='/stream/',
    kind=RequestKind.streaming,
    weighted_services=(WeightedService(ENGINES),),
    max_attempts=2,
    resumable=True,
    max_gap_s=0.2,
)
ROUTES = (REPEATABLE, ONCE, STREAM)
SERVICES = (
    ServiceConfiguration(ENGINES, engine_of(ModelProfile(MODEL, group_size=1))),
    ServiceConfiguration(PLAIN),
)
_CONCURRENT_CASES = 30
_ANYWHERE = Address('127.0.0.1', 1)


@frozen
class Case:
    """A request and the scripts of the runners that it may reach.

    Parameters
    ----------
    route
        Route of the request.
    scripts
        One script for each attempt; the last one repeats.
    runners
        Number of runners.
    """

    route: Route
    scripts: tuple[Script, ...]
    runners: int = 2


@frozen
class Outcome:
    """What the caller received, and the heads that runners received."""

    received: Received
    heads: tuple[bytes, ...]

    @property
    def runs(self) -> int:
        """Number of attempts that reached a runner."""
        return len(self.heads)


class Harness:
    """A daemon's serving path: a server for callers before scripted runners.

    Parameters
    ----------
    engines
        Runners of the service with an engine; each one leads a group.
    plain
        Runners of the service without one.
    """

    def __init__(
        self, engines: ScriptedRunners, plain: ScriptedRunners
    ) -> None:
        self._versions: dict[str, ServingConfiguration] = {}
        self._runners = _runners(engines, plain)
        self.state = ServingState(_settings(), self._dialects())
        self.configure(*ROUTES)
        for name in self._runners:
            self.state.runner_entries.put(name, name)
        self.state.runner_table.advance(1)
        self._listener = eventlet.listen(('127.0.0.1', 0))
        application = CallerApplication(self.state, RequestMetrics())
        self.server = CallerServer(
            self._listener, application, lambda: self.state.stopping
        )
        self.server.start()

    def configure(
        self,
        *routes: Route,
        services: Iterable[ServiceConfiguration] = SERVICES,
        requires_keys: bool = False,
    ) -> None:
        """Put a new version of the configuration in force."""
        version = self.state.configuration.version + 1
        self._versions[str(version)] = ServingConfiguration(
            version,
            routes,
            {service.name: service for service in services},
            CallerLimits(100000),
            requires_keys=requires_keys,
        )
        self.state.configuration.update(str(version))

    def begin_stop(self, grace_s: float) -> None:
        """Begin a planned stop that has this time."""
        self.state.stopping = True
        self.state.process.planned_stop.begin(grace_s)

    @property
    def callers_address(self) -> tuple[str, int]:
        """Where callers connect."""
        return self._listener.getsockname()[:2]

    def connect(self) -> Caller:
        """Return a caller with a connection of its own."""
        return Caller(eventlet.connect(self.callers_address))

    def exchange(self, route: Route) -> Received:
        """Send one request on a connection of its own."""
        return self.connect().exchange(route)

    def _dialects(self) -> Dialects:
        unused: Any = None
        return Dialects(
            TEXT_DIALECT,
            HeaderDialect(),
            unused,
            lambda version: self._versions[version],
            lambda name, _document: self._runners[name],
        )


def outcomes(*cases: Case) -> list[Outcome]:
    """Return the outcomes of cases, each with runners of its own."""
    return list(eventlet.GreenPool(_CONCURRENT_CASES).imap(_outcome, cases))


def _outcome(case: Case) -> Outcome:
    runners = ScriptedRunners(case.runners, *case.scripts)
    harness = Harness(runners, runners)
    harness.configure(*ROUTES, case.route)
    received = harness.exchange(case.route)
    return Outcome(received, tuple(runners.heads))


def _settings() -> ServingSettings:
    return ServingSettings(
        'd0',
        'north',
        _ANYWHERE,
        _ANYWHERE,
        '/ready',
        _ANYWHERE,
        _ANYWHERE,
        platform_reads_per_s=100,
        platform_writes_per_s=100,
        # Enough for all retries of a test.
        bounds=ServingBounds(retry_slack=1000),
    )


def _runners(
    engines: ScriptedRunners, plain: ScriptedRunners
) -> dict[str, DiscoveredRunner]:
    runners: dict[str, DiscoveredRunner] = {}
    for number, address in enumerate(engines.addresses):
        leads = GroupPosition(f'g{number}', 1, 0, MemberState.open)
        runners[f'engine-{number}'] = DiscoveredRunner(
            f'engine-{number}',
            ENGINES,
            address,
            'north',
            9,
            loaded_models=(MODEL,),
            group_position=leads,
        )
    for number, address in enumerate(plain.addresses):
        runners[f'plain-{number}'] = DiscoveredRunner(
            f'plain-{number}', PLAIN, address, 'north', 9
        )
    return runners
