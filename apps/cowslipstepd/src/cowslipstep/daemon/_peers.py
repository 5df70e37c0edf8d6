"""Messages that peers send."""

from __future__ import annotations

import time

from attrs import frozen

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._known_group_ledgers import KnownGroupLedgers
from cowslipstep.daemon._membership import hear_heartbeat
from cowslipstep.daemon._reports import OwnReports
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import (
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    GroupLedgerQuery,
    Heartbeat,
    Message,
    OrderLedgerCall,
    Release,
    Renewal,
    SlotRequest,
)
from cowslipstep.peers import PeerServer, Reply


@frozen
class Feeds:
    """What this daemon knows and copies for others."""

    configuration: ConfigurationFeed
    ledgers: KnownGroupLedgers


class PeerService:
    """Handles what peers send.

    Parameters
    ----------
    state
        State of the daemon.
    feeds
        Take and give configurations and ledgers.
    cells
        Handles asks and grants.
    reports
        Writes the replies to heartbeats.
    """

    def __init__(
        self,
        state: DaemonState,
        feeds: Feeds,
        cells: CellService,
        reports: OwnReports,
    ) -> None:
        self._state = state
        self._feeds = feeds
        self._cells = cells
        self._reports = reports

    def start(self) -> None:
        """Start the task that accepts links.

        Raises
        ------
        OSError
            If the address is taken.
        """
        server = PeerServer(
            self._state.settings.listens_to_peers_at,
            self._receive,
            self._state.traffic,
        )
        start_task('peer server', server.run)

    def _receive(self, message: Message, reply: Reply) -> None:
        match message:
            case Heartbeat():
                hear_heartbeat(
                    self._state.membership,
                    message,
                    time.monotonic(),
                )
                reply(self._reports.reply(message))
            case DaemonEntry():
                self._state.membership.known.learn(message)
            case SlotRequest():
                self._cells.submit(message, reply)
            case Renewal():
                self._cells.renew(message)
            case Release():
                self._cells.release(message)
            case OrderLedgerCall():
                self._state.handle_order_ledger_call(message, reply)
            case (
                ConfigurationQuery() | ConfigurationCopy() | GroupLedgerQuery()
            ):
                self._copy(message, reply)

    def _copy(
        self,
        message: ConfigurationQuery | ConfigurationCopy | GroupLedgerQuery,
        reply: Reply,
    ) -> None:
        match message:
            case ConfigurationQuery(known_version):
                reply(self._feeds.configuration.copy_for(known_version))
            case ConfigurationCopy(version, document):
                self._feeds.configuration.apply(version, document)
            case GroupLedgerQuery():
                reply(self._feeds.ledgers.copy_for(message))
