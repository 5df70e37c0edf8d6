"""Assembly of a daemon from its services and tasks."""

from __future__ import annotations

from cowslipstep.daemon._caller_application import CallerApplication
from cowslipstep.daemon._caller_server import CallerServer, stop_event
from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._completion_delivery import CompletionDelivery
from cowslipstep.daemon._control_plane import start_control_plane
from cowslipstep.daemon._initial_state import create_state
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._listening import listen_http
from cowslipstep.daemon._order_assembly import start_order_execution
from cowslipstep.daemon._owner_calls import OwnerCalls
from cowslipstep.daemon._own_limits import connection_limits
from cowslipstep.daemon._planned_stop import stop_as_planned
from cowslipstep.daemon._service_delivery import ServiceDelivery
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status_tasks import maintain_status
from cowslipstep.daemon._tasks import start_task
from cowslipstep.settings import DaemonSettings


def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until a planned stop has ended.

    Raises
    ------
    ListenError
        If an address is in use already.
    """
    stop = stop_event()
    state = create_state(settings)
    listener = listen_http(settings.http_address)
    limits = connection_limits(settings)
    server = CallerServer(
        listener,
        _start(state),
        lambda: state.stopping,
        lambda: limits,
    )
    server.connections.memory = state.caller_memory
    state.caller_memory.log(limits.max_connections)
    server.start()
    with maintain_status(state):
        stop.wait()
        stop_as_planned(server, state)


def _start(state: DaemonState) -> CallerApplication:
    cells = CellService(state)
    links = PeerLinks(state)
    start_task('cells', cells.run)
    start_control_plane(state, cells, links)
    slots = SlotService(state, OwnerCalls(state, cells, links))
    slots.start()
    order_execution = start_order_execution(state, links)
    return CallerApplication(
        state,
        CompletionDelivery(state, slots, order_execution),
        ServiceDelivery(state, order_execution),
    )
