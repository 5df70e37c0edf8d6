"""Whether a fresh daemon knows the newest configuration there is."""

from __future__ import annotations

import time

from cowslipstep.daemon._state import DaemonState

_PEERS_BOUND_S = 2


class ConfigurationConfirmation:
    """Holds requests back until the newest version is in force.

    The platform must have answered or, where it does not, a peer; all
    partners are waited for, within a bound, since a platform that answers
    late may know less than they do.

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
        self._answered: set[str] = set()

    def platform_answered(self) -> None:
        """Note that the platform has told its version."""
        self._platform_answered = True

    def platform_failed(self) -> None:
        """Note that the platform does not answer."""
        self._platform_failed = True

    def peer_answered(self, name: str, version: int) -> None:
        """Note the version of a peer, after any copy was taken over."""
        self._answered.add(name)
        self._newest_version = max(self._newest_version, version)

    def step(self) -> None:
        """Let requests in once the newest known version is in force."""
        state = self._state
        if not state.confirmed and self._sources_told():
            state.confirmed = state.version >= max(1, self._newest_version)

    def _sources_told(self) -> bool:
        if not self._platform_answered:
            return self._platform_failed and bool(self._answered)
        waited_s = time.monotonic() - self._started_at_s
        if waited_s > _PEERS_BOUND_S:
            return True
        return self._answered >= self._state.membership.heartbeat_peers
