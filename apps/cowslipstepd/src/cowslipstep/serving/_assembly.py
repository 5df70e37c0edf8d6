"""Starts the tasks and servers of a serving daemon."""

from __future__ import annotations

from cowslipstep.daemon._caller_server import CallerServer
from cowslipstep.daemon._listening import convert_listen_errors
from cowslipstep.peers import PeerServer
from cowslipstep.serving._configuration_in_force import ConfigurationObserver
from cowslipstep.serving._controller import GroupController
from cowslipstep.serving._demand import DemandEstimator
from cowslipstep.serving._evacuation_tasks import start_evacuation_tasks
from cowslipstep.serving._fleet_views import FleetViews
from cowslipstep.serving._key_confirmation import KeyConfirmation
from cowslipstep.serving._kind_watch import KindWatch, WatchSchedule
from cowslipstep.serving._peer_reports import PeerReports
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._registration import DAEMONS_KIND, register_daemon
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._report_builder import ReportBuilder
from cowslipstep.serving._runner_observer import RunnerObserver
from cowslipstep.serving._servers import start_servers
from cowslipstep.serving._state import ServingState
from cowslipstep.serving._watch_reliance import WatchReliance

# Minimum time between two watch calls of a kind: changes in between arrive in
# one response. Each watch is a call to the platform.
_CONTROLLER_WATCH_INTERVAL_S = 0.1
_RUNNERS_WATCH_INTERVAL_S = 0.3
_CONFIGURATION_WATCH_INTERVAL_S = 0.3
_DAEMONS_WATCH_INTERVAL_S = 1
# Wait before the daemons are first listed: by then all daemons that start
# together have registered.
_DAEMONS_LIST_DELAY_S = 0.4


def start_daemon(state: ServingState) -> CallerServer:
    """Start the tasks of a daemon and return its server for callers.

    Raises
    ------
    ListenError
        If an address is in use.
    """
    registry = DaemonRegistry(state.own_entry)
    reachability = Reachability(state)
    demand = DemandEstimator(state)
    reports = ReportBuilder(state, demand, reachability)
    _start_peer_tasks(state, PeerReports(state, registry, reports))
    _start_watches(state, registry)
    state.process.tasks.start(
        'confirmation of keys', KeyConfirmation(state).run
    )
    state.process.tasks.start('reachability', reachability.run)
    views = FleetViews(state, demand, reachability)
    state.process.tasks.start('group keeper', GroupController(state, views).run)
    return start_servers(state, demand)


def _never() -> bool:
    return False


def _start_peer_tasks(state: ServingState, peers: PeerReports) -> None:
    address = state.settings.peer_address
    with convert_listen_errors(address):
        server = PeerServer(
            address,
            peers.receive,
            peers.traffic,
            lambda: state.process.descriptors.peers,
        )
    state.process.tasks.start('peer server', server.run)
    state.process.tasks.start('load reports', peers.run)


def _start_watches(state: ServingState, registry: DaemonRegistry) -> None:
    key = state.dialects.configuration_key
    bounds = state.settings.bounds
    reliance = WatchReliance(state)

    def runners_interval_s() -> float:  # noqa: WPS430
        return (
            _CONTROLLER_WATCH_INTERVAL_S
            if state.is_controller
            else _RUNNERS_WATCH_INTERVAL_S
        )

    watches = (
        KindWatch(
            state.platform,
            key.kind,
            ConfigurationObserver(state.configuration, key),
            WatchSchedule(
                lambda: _CONFIGURATION_WATCH_INTERVAL_S,
                # Each daemon watches the configuration itself: a relay would
                # have to send the same large document to many daemons.
                is_relayed=_never,
                timeout_s=reliance.timeout_s,
                # After a restart, keys that were withdrawn before it must not
                # be accepted again.
                first_may_be_stale=False,
                confirm=state.configuration.freshness.confirm,
                doubt=reliance.doubt,
            ),
        ),
        KindWatch(
            state.platform,
            state.dialects.runners_kind,
            RunnerObserver(state.runner_entries, bounds.registration_s),
            WatchSchedule(
                runners_interval_s,
                lambda: state.relay_role.relies_on_relay,
                doubt=reliance.doubt,
            ),
        ),
        KindWatch(
            state.platform,
            DAEMONS_KIND,
            registry,
            WatchSchedule(
                lambda: _DAEMONS_WATCH_INTERVAL_S,
                lambda: (
                    state.relay_role.has_read_daemons
                    and state.relay_role.relies_on_relay
                    # Lists them once more if the relay knows others.
                    and not state.cold_runners.misses_daemons
                ),
                _DAEMONS_LIST_DELAY_S,
                doubt=reliance.doubt,
            ),
        ),
    )
    for watch in watches:
        state.process.tasks.start(f'watch of {watch.kind}', watch.run)
    start_evacuation_tasks(state)
    state.process.tasks.start(
        'registration',
        lambda: register_daemon(state.platform, state.own_entry),
    )
