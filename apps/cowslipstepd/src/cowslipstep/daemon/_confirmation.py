"""Check at the start that a daemon has the newest configuration."""

from __future__ import annotations

import time

from cowslipstep.daemon._state import DaemonState

_PEER_WAIT_LIMIT_S = 2


class ConfigurationConfirmation:
    """Decides when a daemon that has just started may serve requests.

    The newest version that the platform and the heartbeat peers reported
    must be in force. If the platform answers, the answers of all heartbeat
    peers are awaited too, for a limited time, since a peer may have a newer
    version than the platform returned. If the platform fails, the answer of
    one peer is enough.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._started_at_s = time.monotonic()
        self._platform_answered = False
        self._platform_failed = False
        self._newest_version = 0
        self._answered_peers: set[str] = set()

    def platform_answered(self) -> None:
        """Record that the platform returned its configuration."""
        self._platform_answered = True

    def platform_failed(self) -> None:
        """Record that a call to the platform failed."""
        self._platform_failed = True

    def peer_answered(self, name: str, version: int) -> None:
        """Record the version that a peer reported.

        Call it only after a newer version was copied from the peer.
        """
        self._answered_peers.add(name)
        self._newest_version = max(self._newest_version, version)

    def step(self) -> None:
        """Confirm the configuration once the newest version is in force."""
        state = self._state
        if not state.confirmed and self._enough_sources_answered():
            state.confirmed = state.version >= max(1, self._newest_version)

    def _enough_sources_answered(self) -> bool:
        if not self._platform_answered:
            return self._platform_failed and bool(self._answered_peers)
        waited_s = time.monotonic() - self._started_at_s
        if waited_s > _PEER_WAIT_LIMIT_S:
            return True
        return self._answered_peers >= self._state.membership.heartbeat_peers
