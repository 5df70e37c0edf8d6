"""Assembly of a serving daemon: its tasks and its planned stop."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

import eventlet
from attrs import evolve
from loguru import logger

from cowslipstep.daemon._listening import listen_http, listening_on
from cowslipstep.daemon._server import CallerServer, stop_event
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import Address
from cowslipstep.peers import PeerServer
from cowslipstep.platform import BudgetLimits, PlatformClient, PlatformLimits
from cowslipstep.serving._demand import DemandWatch
from cowslipstep.serving._dialects import Dialects
from cowslipstep.serving._front import CallerFront, ReadinessFront
from cowslipstep.serving._keeper import GroupKeeper
from cowslipstep.serving._kind_watch import KindWatch
from cowslipstep.serving._peers import PeerReports
from cowslipstep.serving._reachability import Reachability
from cowslipstep.serving._registry import DaemonRegistry
from cowslipstep.serving._reports import ReportMaker
from cowslipstep.serving._state import ServingState
from cowslipstep.settings import ServingSettings

# Changes within this time are told by one watch; each watch is a call.
_KEEPER_PAUSE_S = 0.1
_RUNNERS_PAUSE_S = 0.3
_CONFIGURATION_PAUSE_S = 0.3
_DAEMONS_PAUSE_S = 0.5
# Daemons that start at once share the platform's rates by this guess.
_EXPECTED_DAEMONS = 9
# The balancer stops sending new connections after two readings.
_UNREADY_S = 2.5
# Left of the grace for the process to end.
_EXIT_MARGIN_S = 0.7


def run_serving_daemon(
    load_settings: Callable[[], ServingSettings],
    dialects: Dialects,
) -> None:
    """Run a daemon until a planned stop has ended.

    Parameters
    ----------
    load_settings
        Reads the settings, at the start and on SIGHUP; raises
        ``ValueError`` or ``OSError`` if it cannot.
    dialects
        How the outside is spoken to.

    Raises
    ------
    ListenError
        If an address is taken.
    """
    stop = stop_event()
    settings = load_settings()
    state = ServingState(settings, dialects, _client(settings, dialects))
    signal.signal(
        signal.SIGHUP,
        lambda _number, _frame: reload_settings(state, load_settings),
    )
    server = _start(state)
    stop.wait()
    _stop(server, state)


def reload_settings(
    state: ServingState,
    load_settings: Callable[[], ServingSettings],
) -> None:
    """Use what may change while the daemon runs; its addresses may not."""
    try:
        settings = load_settings()
    except (OSError, ValueError) as error:
        logger.warning('settings not reloaded: {!r}', error)
        return
    state.settings = evolve(state.settings, bounds=settings.bounds)
    logger.info('settings reloaded')


def _client(settings: ServingSettings, dialects: Dialects) -> PlatformClient:
    limits = PlatformLimits(
        reads=BudgetLimits(settings.platform_reads_per_s / _EXPECTED_DAEMONS),
        writes=BudgetLimits(
            settings.platform_writes_per_s / _EXPECTED_DAEMONS,
        ),
    )
    return PlatformClient(
        settings.platform_address,
        settings.name,
        limits,
        dialect=dialects.store,
    )


def _start(state: ServingState) -> CallerServer:
    settings = state.settings
    _serve_readiness(settings.readiness_address, state)
    registry = DaemonRegistry(settings)
    reachability = Reachability(state)
    demand = DemandWatch(state)
    reports = ReportMaker(state, demand, reachability)
    peers = PeerReports(state, registry, reports)
    with listening_on(settings.peer_address):
        server = PeerServer(
            settings.peer_address,
            peers.take,
            peers.traffic,
        )
    start_task('peer server', server.run)
    _start_watches(state, registry)
    start_task('registration', lambda: registry.register(state.platform))
    start_task('load reports', peers.run)
    start_task('reachability', reachability.run)
    keeper = GroupKeeper(state, demand, reachability)
    start_task('group keeper', keeper.run)
    callers = CallerServer(
        listen_http(settings.caller_address),
        CallerFront(state),
        lambda: state.stopping,
    )
    callers.start()
    return callers


def _start_watches(
    state: ServingState,
    registry: DaemonRegistry,
) -> None:
    dialects = state.dialects

    def runners_pause_s() -> float:  # noqa: WPS430
        return _KEEPER_PAUSE_S if state.is_keeper else _RUNNERS_PAUSE_S

    watches = (
        KindWatch(
            state.platform,
            dialects.configuration_key.kind,
            state.configuration,
            lambda: _CONFIGURATION_PAUSE_S,
        ),
        KindWatch(
            state.platform,
            dialects.runners_kind,
            state.directory,
            runners_pause_s,
        ),
        KindWatch(
            state.platform,
            registry.kind,
            registry,
            lambda: _DAEMONS_PAUSE_S,
        ),
    )
    for watch in watches:
        start_task(f'watch of {watch.kind}', watch.run)


def _serve_readiness(address: Address, state: ServingState) -> None:
    server = CallerServer(
        listen_http(address),
        ReadinessFront(state),
        lambda: False,
    )
    server.start()


def _stop(server: CallerServer, state: ServingState) -> None:
    """Finish the requests in progress within the grace."""
    begun_s = time.monotonic()
    state.stopping = True
    logger.info('planned stop begins')
    eventlet.sleep(_UNREADY_S)
    server.close()
    passed_s = time.monotonic() - begun_s
    grace_s = state.settings.bounds.grace_s - _EXIT_MARGIN_S
    finished = server.wait_finished(max(0, grace_s - passed_s))
    logger.bind(finished=finished).info('planned stop ends')
