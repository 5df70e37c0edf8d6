"""Control plane of a daemon: peers, configuration and groups."""

from __future__ import annotations

from cowslipstep.daemon._platform_tasks import start_platform_tasks
from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration_updater import ConfigurationUpdater
from cowslipstep.daemon._group_ledger_reader import GroupLedgerReader
from cowslipstep.daemon._groups import GroupService
from cowslipstep.daemon._heartbeats import Heartbeats
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._listening import convert_listen_errors
from cowslipstep.daemon._peer_ledgers import PeerLedgers
from cowslipstep.daemon._peer_service import CopySources, PeerService
from cowslipstep.daemon._own_heartbeats import OwnHeartbeats
from cowslipstep.daemon._state import DaemonState


def start_control_plane(
    state: DaemonState,
    cells: CellService,
    links: PeerLinks,
) -> None:
    """Start the control plane's tasks."""
    updater = ConfigurationUpdater(state)
    ledgers = GroupLedgerReader(state, PeerLedgers(state.membership, links))
    groups = GroupService(state, ledgers)
    own_heartbeats = OwnHeartbeats(state, groups.own_readiness)
    with convert_listen_errors(state.settings.effective_peer_listen_address):
        service = PeerService(
            state, CopySources(updater, ledgers.known), cells, own_heartbeats
        )
        service.start()
    groups.start()
    Heartbeats(state, updater, links).start(own_heartbeats)
    start_platform_tasks(state, updater)
