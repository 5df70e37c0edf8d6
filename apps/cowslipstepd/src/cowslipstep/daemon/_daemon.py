"""Assembly of a daemon: its services and tasks."""

from __future__ import annotations

import signal

import eventlet
from eventlet import wsgi
from eventlet.event import Event
from loguru import logger

from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._dispatch import DispatchService
from cowslipstep.daemon._entry import EntryApplication
from cowslipstep.daemon._groups import GroupService, period_s
from cowslipstep.daemon._peers import PeerService
from cowslipstep.daemon._services import ServiceCalls
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import DaemonSettings

_MAX_CONNECTIONS = 10000
_KEEP_ALIVE_S = 60


def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until a planned stop has ended."""
    state = DaemonState(settings, PlatformClient(settings.platform_address))
    feed = ConfigurationFeed(state)
    dispatch = DispatchService(state)
    groups = GroupService(state)
    peers = PeerService(state, feed, dispatch, groups.own_readiness)
    stop = _stop_event()
    start_task('configuration', repeat(0, feed.watch))
    start_task('groups', repeat(period_s(), groups.step))
    start_task('dispatch', dispatch.run)
    peers.start()
    application = EntryApplication(
        state,
        DeliveryService(state, dispatch),
        ServiceCalls(state),
    )
    _serve_until(stop, application, state)


def _stop_event() -> Event:
    stop = Event()

    def request_stop(_number: int, _frame: object) -> None:  # noqa: WPS430
        if not stop.ready():
            stop.send(None)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    return stop


def _serve_until(
    stop: Event,
    application: EntryApplication,
    state: DaemonState,
) -> None:
    address = state.settings.http_address
    listener = eventlet.listen((address.ip, address.port))
    pool = eventlet.GreenPool(_MAX_CONNECTIONS)
    server = eventlet.spawn(
        wsgi.server,
        listener,
        application,
        custom_pool=pool,
        log_output=False,
        minimum_chunk_size=1,
        socket_timeout=_KEEP_ALIVE_S,
        debug=False,
    )
    logger.bind(address=str(address)).info('daemon serves')
    stop.wait()
    state.stopping = True
    logger.info('planned stop begins')
    eventlet.sleep(state.settings.unready_delay_s)
    listener.close()
    server.kill()
    with eventlet.Timeout(state.settings.stop_grace_s, False):
        pool.waitall()
    logger.info('planned stop ends')
