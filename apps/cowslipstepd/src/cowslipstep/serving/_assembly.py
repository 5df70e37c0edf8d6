"""Assembly of a serving daemon from its tasks."""

from __future__ import annotations

from cowslipstep.daemon._listening import listen_http, listening_on
from cowslipstep.daemon._server import CallerServer
from cowslipstep.daemon._tasks import start_task
from cowslipstep.peers import PeerServer
from cowslipstep.serving._configuration_feed import ConfigurationFollower
from cowslipstep.serving._controller import GroupController
from cowslipstep.serving._demand import DemandWatch
from cowslipstep.serving._fleet_views import FleetViews
from cowslipstep.serving._front import CallerFront, ReadinessFront
from cowslipstep.serving._kind_watch import (
    LONG_WATCH_S,
    WATCH_S,
    KindWatch,
    WatchPace,
)
from cowslipstep.serving._metrics import (
    MetricsFront,
    RequestMetrics,
    serve_metrics,
)
from cowslipstep.serving._peers import PeerReports
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._registration import (
    DAEMONS_KIND,
    register_daemon,
)
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._reports import ReportMaker
from cowslipstep.serving._runner_follower import RunnerFollower
from cowslipstep.serving._state import ServingState

# Changes within this time are told by one watch; each watch is a call.
_KEEPER_PAUSE_S = 0.1
_RUNNERS_PAUSE_S = 0.3
_CONFIGURATION_PAUSE_S = 0.3
_DAEMONS_PAUSE_S = 1
# Daemons that start together have registered by then.
_REGISTRATION_S = 0.4


def start_daemon(state: ServingState) -> CallerServer:
    """Start all tasks of a daemon and return its server for callers.

    Raises
    ------
    ListenError
        If an address is taken.
    """
    registry = DaemonRegistry(state.own_entry)
    reachability = Reachability(state)
    demand = DemandWatch(state)
    reports = ReportMaker(state, demand, reachability)
    _start_peers(state, PeerReports(state, registry, reports))
    _start_watches(state, registry)
    start_task('reachability', reachability.run)
    views = FleetViews(state, demand, reachability)
    start_task('group keeper', GroupController(state, views).run)
    return _start_servers(state)


def _never() -> bool:
    return False


def _start_peers(state: ServingState, peers: PeerReports) -> None:
    address = state.settings.peer_address
    with listening_on(address):
        server = PeerServer(address, peers.take, peers.traffic)
    start_task('peer server', server.run)
    start_task('load reports', peers.run)


def _start_watches(state: ServingState, registry: DaemonRegistry) -> None:
    key = state.dialects.configuration_key
    bounds = state.settings.bounds

    def runners_pause_s() -> float:  # noqa: WPS430
        return _KEEPER_PAUSE_S if state.is_controller else _RUNNERS_PAUSE_S

    watches = (
        KindWatch(
            state.platform,
            key.kind,
            ConfigurationFollower(state.configuration, key),
            WatchPace(
                lambda: _CONFIGURATION_PAUSE_S,
                # A relay would send the same large document to many.
                is_fed=_never,
                watch_s=lambda: LONG_WATCH_S if state.role.fed else WATCH_S,
            ),
        ),
        KindWatch(
            state.platform,
            state.dialects.runners_kind,
            RunnerFollower(state.entries, bounds.registration_s),
            WatchPace(runners_pause_s, lambda: state.role.fed),
        ),
        KindWatch(
            state.platform,
            DAEMONS_KIND,
            registry,
            WatchPace(
                lambda: _DAEMONS_PAUSE_S,
                lambda: state.role.known and state.role.fed,
                _REGISTRATION_S,
            ),
        ),
    )
    for watch in watches:
        start_task(f'watch of {watch.kind}', watch.run)
    start_task(
        'registration',
        lambda: register_daemon(state.platform, state.own_entry),
    )


def _start_servers(state: ServingState) -> CallerServer:
    settings = state.settings
    balancer = CallerServer(
        listen_http(settings.readiness_address),
        ReadinessFront(state),
        bool,  # never asks the balancer to connect elsewhere
    )
    balancer.start()
    metrics = RequestMetrics()
    callers = CallerServer(
        listen_http(settings.caller_address),
        CallerFront(state, metrics),
        lambda: state.stopping,
    )
    callers.start()
    # Last, so that it never takes an address that callers need.
    serve_metrics(MetricsFront(state, metrics), settings.metrics_address)
    return callers
