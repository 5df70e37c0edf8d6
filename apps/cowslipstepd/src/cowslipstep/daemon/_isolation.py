"""Detection that neither the platform nor a peer can be reached."""

from __future__ import annotations

import contextlib
import time

from loguru import logger

from cowslipstep.daemon._configuration_watch import CONFIGURATION_KEY
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import CowslipstepError

ISOLATED_AFTER_S = 10
_PROBE_PLATFORM_AFTER_S = 3


class IsolationCheck:
    """Makes a daemon unready while it can receive no new configuration.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._started_at_s = time.monotonic()

    def step(self) -> None:
        """Check once; call the platform if no peer sent a heartbeat lately."""
        if self._peers_silence_s() > _PROBE_PLATFORM_AFTER_S:
            self._probe_platform()
        isolated = self._silence_s() > ISOLATED_AFTER_S
        if isolated != self._state.isolated:
            self._state.isolated = isolated
            logger.bind(isolated=isolated).warning(
                'isolation from the platform and all peers began or ended; '
                'an isolated daemon is unready'
            )

    def _probe_platform(self) -> None:
        if self._platform_silence_s() > _PROBE_PLATFORM_AFTER_S:
            with contextlib.suppress(CowslipstepError):
                self._state.platform.read(CONFIGURATION_KEY)

    def _silence_s(self) -> float:
        return min(self._peers_silence_s(), self._platform_silence_s())

    def _peers_silence_s(self) -> float:
        """Return the time since a peer's last heartbeat; zero without peers."""
        membership = self._state.membership
        ages = [membership.liveness.age_s(name) for name in membership.others]
        return min((*ages, self._uptime_s())) if ages else 0

    def _platform_silence_s(self) -> float:
        last_response_at_s = self._state.platform.last_response_at_s
        return min(time.monotonic() - last_response_at_s, self._uptime_s())

    def _uptime_s(self) -> float:
        return time.monotonic() - self._started_at_s
