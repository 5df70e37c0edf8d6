"""Handling of the messages that peers send."""

from __future__ import annotations

import time

from attrs import frozen

from cowslipstep.daemon._cells import CellService
from cowslipstep.daemon._configuration_updater import ConfigurationUpdater
from cowslipstep.daemon._known_group_ledgers import KnownGroupLedgers
from cowslipstep.daemon._membership import record_heartbeat
from cowslipstep.daemon._own_heartbeats import OwnHeartbeats
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
from cowslipstep.peers import PeerServer, ReplyCallback


@frozen
class CopySources:
    """Configuration and ledgers that peers may request copies of."""

    configuration: ConfigurationUpdater
    ledgers: KnownGroupLedgers


class PeerService:
    """Handles the messages that peers send.

    Parameters
    ----------
    state
        State of the daemon.
    sources
        Configuration and ledgers, for queries and copies of peers.
    cells
        Handles slot requests, renewals and releases.
    own_heartbeats
        Creates the replies to heartbeats.
    """

    def __init__(
        self,
        state: DaemonState,
        sources: CopySources,
        cells: CellService,
        own_heartbeats: OwnHeartbeats,
    ) -> None:
        self._state = state
        self._sources = sources
        self._cells = cells
        self._own_heartbeats = own_heartbeats

    def start(self) -> None:
        """Start the task that accepts links from peers.

        Raises
        ------
        OSError
            If the address is in use already.
        """
        server = PeerServer(
            self._state.settings.effective_peer_listen_address,
            self._receive,
            self._state.traffic,
        )
        start_task('peer server', server.run)

    def _receive(self, message: Message, reply: ReplyCallback) -> None:
        match message:
            case Heartbeat():
                record_heartbeat(
                    self._state.membership,
                    message,
                    time.monotonic(),
                )
                reply(self._own_heartbeats.reply(message))
            case DaemonEntry():
                self._state.membership.known.add(message)
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
        reply: ReplyCallback,
    ) -> None:
        match message:
            case ConfigurationQuery(known_version):
                reply(self._sources.configuration.copy_for(known_version))
            case ConfigurationCopy(version, document):
                self._sources.configuration.apply(version, document)
            case GroupLedgerQuery():
                reply(self._sources.ledgers.copy_for(message))
