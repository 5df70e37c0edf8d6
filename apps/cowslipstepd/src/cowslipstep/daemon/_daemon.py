"""Assembly of a daemon: its services and tasks."""

from __future__ import annotations

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._entry import EntryApplication
from cowslipstep.daemon._groups import PERIOD_S, GroupService
from cowslipstep.daemon._keyed import KeyedRuns
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._peers import Heartbeats, PeerService
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._server import serve_until, stop_event
from cowslipstep.daemon._services import ServiceCalls
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import DaemonSettings


def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until a planned stop has ended."""
    stop = stop_event()
    state = DaemonState(settings, PlatformClient(settings.platform_address))
    cells = CellService(state)
    links = PeerLinks()
    start_task('cells', cells.run)
    _start_control(state, cells, links)
    slots = SlotService(state, cells, links)
    serve_until(stop, _application(state, slots), state)


def _application(state: DaemonState, slots: SlotService) -> EntryApplication:
    ledger = OrderLedger(SegmentStore(state.platform))
    keyed = KeyedRuns(OrderClaims(ledger), state.counters)
    return EntryApplication(
        state,
        DeliveryService(state, slots, keyed),
        ServiceCalls(state, keyed),
    )


def _start_control(
    state: DaemonState,
    cells: CellService,
    links: PeerLinks,
) -> None:
    feed = ConfigurationFeed(state)
    groups = GroupService(state)
    start_task('configuration', repeat(0, feed.watch))
    start_task('groups', repeat(PERIOD_S, groups.step))
    PeerService(state, feed, cells).start()
    Heartbeats(state, feed, groups.own_readiness).start(links)
