"""Tasks that keep a daemon's view of its fleet."""

from __future__ import annotations

from cowslipstep.daemon._awareness import start_awareness
from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._group_ledger_reader import GroupLedgerReader
from cowslipstep.daemon._groups import GroupService
from cowslipstep.daemon._heartbeats import Heartbeats
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._listening import listening_on
from cowslipstep.daemon._peer_ledgers import PeerLedgers
from cowslipstep.daemon._peers import Feeds, PeerService
from cowslipstep.daemon._reports import OwnReports
from cowslipstep.daemon._state import DaemonState


def start_control(
    state: DaemonState,
    cells: CellService,
    links: PeerLinks,
) -> None:
    """Start the tasks for peers, configuration and groups."""
    feed = ConfigurationFeed(state)
    ledgers = GroupLedgerReader(state, PeerLedgers(state.membership, links))
    groups = GroupService(state, ledgers)
    reports = OwnReports(state, groups.own_readiness)
    with listening_on(state.settings.listens_to_peers_at):
        service = PeerService(state, Feeds(feed, ledgers.known), cells, reports)
        service.start()
    groups.start()
    Heartbeats(state, feed, links).start(reports)
    start_awareness(state, feed)
