"""Exchange of heartbeats with chosen peers, in one task for each."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import eventlet
from loguru import logger

from cowslipstep.daemon._configuration_updater import ConfigurationUpdater
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._membership import record_heartbeat
from cowslipstep.daemon._own_heartbeats import OwnHeartbeats
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task
from cowslipstep.model import ConfigurationCopy, ConfigurationQuery, Heartbeat
from cowslipstep.peers import (
    MAX_FULL_MESH_DAEMONS,
    PeerUnreachable,
    ReadinessReportReader,
)

_FULL_MESH_PERIOD_S = 0.5
_BOUNDED_PEERS_PERIOD_S = 1
_CALL_TIMEOUT_S = 2
_PEER_SELECTION_PERIOD_S = 1
_PERIOD_JITTER_SHARE = 0.2


class Heartbeats:
    """Runs a heartbeat task for each of the chosen peers.

    Parameters
    ----------
    state
        State of the daemon.
    updater
        Applies newer configurations and returns copies for peers.
    links
        Links to the peers.
    """

    def __init__(
        self,
        state: DaemonState,
        updater: ConfigurationUpdater,
        links: PeerLinks,
    ) -> None:
        self._state = state
        self._updater = updater
        self._links = links
        self._tasks: dict[str, Any] = {}

    def start(self, own_heartbeats: OwnHeartbeats) -> None:
        """Start the task that chooses peers and runs a task for each."""
        start_task(
            'partners',
            repeat(
                _PEER_SELECTION_PERIOD_S,
                lambda: self._start_and_end_tasks(own_heartbeats),
            ),
        )

    def _start_and_end_tasks(self, own_heartbeats: OwnHeartbeats) -> None:
        heartbeat_peers = self._state.membership.choose_heartbeat_peers()
        for removed in self._tasks.keys() - heartbeat_peers:
            self._tasks.pop(removed).kill()
        for name in heartbeat_peers - self._tasks.keys():
            exchange = HeartbeatExchange(name, self._state, own_heartbeats)
            self._tasks[name] = start_task(
                f'heartbeats to {name}',
                exchange.task(self._updater, self._links),
            )
        self._links.close_idle()


class HeartbeatExchange:
    """Exchanges heartbeats with one peer.

    Parameters
    ----------
    name
        Name of the peer.
    state
        State of the daemon.
    own_heartbeats
        Creates the heartbeats of this daemon.
    """

    def __init__(
        self,
        name: str,
        state: DaemonState,
        own_heartbeats: OwnHeartbeats,
    ) -> None:
        self._name = name
        self._state = state
        self._own_heartbeats = own_heartbeats
        self._reader = ReadinessReportReader()

    def task(
        self,
        updater: ConfigurationUpdater,
        links: PeerLinks,
    ) -> Callable[[], None]:
        """Return a function that exchanges heartbeats forever."""

        def run() -> None:  # noqa: WPS430
            while True:
                try:
                    self._exchange(updater, links)
                except PeerUnreachable as error:
                    logger.debug(
                        'heartbeat failed, link reset before the next one: {}',
                        error,
                    )
                    links.reset(self._name)
                eventlet.sleep(_period_s(len(self._state.membership.others)))

        return run

    def _exchange(
        self, updater: ConfigurationUpdater, links: PeerLinks
    ) -> None:
        sent_at_s = time.monotonic()
        own = self._own_heartbeats.request(self._reader.list_number)
        match links.call(self._name, own, _CALL_TIMEOUT_S):
            case Heartbeat() as heartbeat:
                self._record(heartbeat, sent_at_s)
                self._synchronize_configuration(heartbeat, updater, links)

    def _record(self, heartbeat: Heartbeat, sent_at_s: float) -> None:
        record_heartbeat(self._state.membership, heartbeat, sent_at_s)
        for readiness in self._reader.read(heartbeat.readiness):
            self._state.readiness.record(readiness, sent_at_s)

    def _synchronize_configuration(
        self,
        heartbeat: Heartbeat,
        updater: ConfigurationUpdater,
        links: PeerLinks,
    ) -> None:
        version = heartbeat.configuration_version
        if version < self._state.version:
            links.send(self._name, updater.copy_for(version))
        if updater.is_newer(version):
            query = ConfigurationQuery(self._state.version)
            match links.call(self._name, query, _CALL_TIMEOUT_S):
                case ConfigurationCopy(found, document):
                    updater.apply(found, document)
        updater.confirmation.peer_answered(self._name, version)


def _period_s(other_daemons: int) -> float:
    period_s = (
        _FULL_MESH_PERIOD_S
        if other_daemons < MAX_FULL_MESH_DAEMONS
        else _BOUNDED_PEERS_PERIOD_S
    )
    return period_s * random.uniform(
        1 - _PERIOD_JITTER_SHARE, 1 + _PERIOD_JITTER_SHARE
    )
