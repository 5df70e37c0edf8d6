"""Messages that peers send."""

from __future__ import annotations

import time

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._membership import hear_heartbeat
from cowslipstep.daemon._reports import OwnReports
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import (
    Ask,
    ConfigurationCopy,
    ConfigurationQuery,
    DaemonEntry,
    Heartbeat,
    LedgerCall,
    Message,
    ProbeQuery,
    Release,
    Renewal,
)
from cowslipstep.peers import PeerServer, Reply


class PeerService:
    """Handles what peers send.

    Parameters
    ----------
    state
        State of the daemon.
    feed
        Takes and gives configurations.
    cells
        Handles asks and grants.
    reports
        Writes the replies to heartbeats.
    """

    def __init__(
        self,
        state: DaemonState,
        feed: ConfigurationFeed,
        cells: CellService,
        reports: OwnReports,
    ) -> None:
        self._state = state
        self._feed = feed
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
                self._state.membership.learn(message)
            case Ask():
                self._cells.submit(message, reply)
            case Renewal():
                self._cells.renew(message)
            case Release():
                self._cells.release(message)
            case LedgerCall() | ProbeQuery():
                self._share_work(message, reply)
            case ConfigurationQuery() | ConfigurationCopy():
                self._configure(message, reply)

    def _share_work(
        self,
        message: LedgerCall | ProbeQuery,
        reply: Reply,
    ) -> None:
        match message:
            case LedgerCall():
                self._state.ledger_calls(message, reply)
            case ProbeQuery():
                self._state.probe_calls(message, reply)

    def _configure(
        self,
        message: ConfigurationQuery | ConfigurationCopy,
        reply: Reply,
    ) -> None:
        match message:
            case ConfigurationQuery(known_version):
                reply(self._feed.copy_for(known_version))
            case ConfigurationCopy(version, document):
                self._feed.apply(version, document)
