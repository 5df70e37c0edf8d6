"""Links to peers: heartbeats out, and messages in."""

from __future__ import annotations

import time
from collections.abc import Callable

import eventlet
from loguru import logger

from cowslipstep.daemon._configuration import ConfigurationFeed
from cowslipstep.daemon._dispatch import DispatchService
from cowslipstep.daemon._state import DaemonState, PeerState
from cowslipstep.daemon._tasks import start_task
from cowslipstep.model import (
    Acknowledgement,
    Ask,
    ConfigurationCopy,
    ConfigurationQuery,
    GroupReadiness,
    Heartbeat,
    Message,
    Release,
    Renewal,
)
from cowslipstep.peers import PeerLink, PeerServer, PeerUnreachable, Reply

_HEARTBEAT_S = 0.5
_CALL_TIMEOUT_S = 2


class PeerService:
    """Keeps a link to each peer and handles what peers send.

    Parameters
    ----------
    state
        State of the daemon.
    feed
        Applies configurations.
    dispatch
        Handles asks and grants.
    own_readiness
        Returns the readiness of the groups that this daemon probes.
    """

    def __init__(
        self,
        state: DaemonState,
        feed: ConfigurationFeed,
        dispatch: DispatchService,
        own_readiness: Callable[[], tuple[GroupReadiness, ...]],
    ) -> None:
        self._state = state
        self._feed = feed
        self._dispatch = dispatch
        self._own_readiness = own_readiness

    def start(self) -> None:
        """Start the server and a task for each peer."""
        server = PeerServer(self._state.settings.peer_address, self._handle)
        start_task('peer server', server.run)
        for peer in self._state.settings.peers:
            link = PeerLink(peer.address)
            self._dispatch.add_link(peer.name, link)
            start_task(f'link to {peer.name}', link.run)
            start_task(f'heartbeats to {peer.name}', self._beats_to(link))

    def _beats_to(self, link: PeerLink) -> Callable[[], None]:
        def run() -> None:  # noqa: WPS430
            while True:
                self._beat(link)
                eventlet.sleep(_HEARTBEAT_S)

        return run

    def _beat(self, link: PeerLink) -> None:
        if not link.connected:
            return
        heartbeat = Heartbeat(
            self._state.settings.name,
            self._state.incarnation,
            self._state.version,
            self._own_readiness(),
            self._state.stopping,
        )
        try:
            reply = link.call(heartbeat, _CALL_TIMEOUT_S)
        except PeerUnreachable as error:
            logger.debug('heartbeat failed: {}', error)
            return
        match reply:
            case ConfigurationQuery():
                link.tell(self._feed.answer(reply))

    def _handle(self, message: Message, reply: Reply) -> None:
        match message:
            case Heartbeat():
                self._learn(message, reply)
            case Ask():
                self._dispatch.submit(message, reply)
            case Renewal():
                self._dispatch.renew(message)
            case Release():
                self._dispatch.release(message)
            case ConfigurationCopy(version, document):
                self._feed.apply(version, document)

    def _learn(self, heartbeat: Heartbeat, reply: Reply) -> None:
        self._state.peers[heartbeat.daemon] = PeerState(
            heartbeat,
            time.monotonic(),
        )
        for readiness in heartbeat.readiness:
            self._state.readiness.learn(readiness)
        if heartbeat.configuration_version > self._state.version:
            reply(ConfigurationQuery(self._state.version))
            return
        reply(Acknowledgement())
