"""Assembly of a daemon: its services and tasks."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Iterator

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._delivery import DeliveryService
from cowslipstep.daemon._entry import EntryApplication
from cowslipstep.daemon._groups import PERIOD_S, GroupService
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._peers import Heartbeats, PeerService
from cowslipstep.daemon._retention import (
    RETENTION_PERIOD_S,
    delete_old_statuses,
)
from cowslipstep.daemon._server import serve_until, stop_event
from cowslipstep.daemon._services import ServiceCalls
from cowslipstep.daemon._slots import SlotService
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._status import StatusWriter
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
    application = EntryApplication(
        state,
        DeliveryService(state, SlotService(state, cells, links)),
        ServiceCalls(state),
    )
    with _status_kept(state):
        serve_until(stop, application, state)


@contextlib.contextmanager
def _status_kept(state: DaemonState) -> Iterator[None]:
    status = StatusWriter(state)
    retain = functools.partial(delete_old_statuses, state)
    start_task('status', status.run)
    start_task('status retention', repeat(RETENTION_PERIOD_S, retain))
    yield
    status.write_last()


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
