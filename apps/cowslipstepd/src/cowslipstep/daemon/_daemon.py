"""Assembly of a daemon: its services and tasks."""

from __future__ import annotations

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._control import start_control
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._entry import EntryApplication
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._listening import listen_http
from cowslipstep.daemon._opening import open_state
from cowslipstep.daemon._order_assembly import start_order_execution
from cowslipstep.daemon._owner_calls import OwnerCalls
from cowslipstep.daemon._planned_stop import stop_as_planned
from cowslipstep.daemon._server import CallerServer, stop_event
from cowslipstep.daemon._services import ServiceCalls
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_tasks import status_kept
from cowslipstep.daemon._tasks import start_task
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
    server = CallerServer(listener, _start(state), lambda: state.stopping)
    server.start()
    with status_kept(state):
        stop.wait()
        stop_as_planned(server, state)


def _start(state: DaemonState) -> EntryApplication:
    cells = CellService(state)
    links = PeerLinks(state)
    start_task('cells', cells.run)
    start_control(state, cells, links)
    slots = SlotService(state, OwnerCalls(state, cells, links))
    slots.start()
    keyed = start_order_execution(state, links)
    return EntryApplication(
        state,
        DeliveryService(state, slots, keyed),
        ServiceCalls(state, keyed),
    )
