"""Assembly of a daemon: its services and tasks."""

from __future__ import annotations

from cowslipstep.daemon._awareness import start_awareness
from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._entry import EntryApplication
from cowslipstep.daemon._groups import PERIOD_S, GroupService
from cowslipstep.daemon._heartbeats import Heartbeats
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._listening import listen_http, listening_on
from cowslipstep.daemon._opening import open_state
from cowslipstep.daemon._peers import PeerService
from cowslipstep.daemon._planned_stop import stop_as_planned
from cowslipstep.daemon._reports import OwnReports
from cowslipstep.daemon._server import CallerServer, stop_event
from cowslipstep.daemon._services import ServiceCalls
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.settings import DaemonSettings


def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until a planned stop has ended.

    Raises
    ------
    ListenError
        If an address is taken.
    """
    stop = stop_event()
    state = open_state(settings)
    listener = listen_http(settings.http_address)
    server = CallerServer(listener, _start(state), state)
    server.start()
    stop.wait()
    stop_as_planned(server, state)


def _start(state: DaemonState) -> EntryApplication:
    cells = CellService(state)
    links = PeerLinks(state)
    start_task('cells', cells.run)
    _start_control(state, cells, links)
    return EntryApplication(
        state,
        DeliveryService(state, SlotService(state, cells, links)),
        ServiceCalls(state),
    )


def _start_control(
    state: DaemonState,
    cells: CellService,
    links: PeerLinks,
) -> None:
    feed = ConfigurationFeed(state)
    groups = GroupService(state)
    reports = OwnReports(state, groups.own_readiness)
    with listening_on(state.settings.peer_address):
        PeerService(state, feed, cells, reports).start()
    start_task('groups', repeat(PERIOD_S, groups.step))
    Heartbeats(state, feed, links).start(reports)
    start_awareness(state, feed)
