"""Whether a daemon is cut off from the platform and from all peers."""

from __future__ import annotations

import contextlib
import time

from loguru import logger

from cowslipstep.daemon._configuration_watch import CONFIGURATION_KEY
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import CowslipstepError

ISOLATED_AFTER_S = 10
_PROBE_AFTER_S = 3


class IsolationCheck:
    """Turns a daemon unready that nobody can tell of a new configuration.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._started_at_s = time.monotonic()

    def step(self) -> None:
        """Look once; ask the platform if no peer was heard for a while."""
        if self._peers_silent_s() > _PROBE_AFTER_S:
            self._probe()
        isolated = self._silent_s() > ISOLATED_AFTER_S
        if isolated != self._state.isolated:
            self._state.isolated = isolated
            logger.bind(isolated=isolated).warning('isolation changed')

    def _probe(self) -> None:
        if self._platform_silent_s() > _PROBE_AFTER_S:
            with contextlib.suppress(CowslipstepError):
                self._state.platform.read(CONFIGURATION_KEY)

    def _silent_s(self) -> float:
        return min(self._peers_silent_s(), self._platform_silent_s())

    def _peers_silent_s(self) -> float:
        membership = self._state.membership
        ages = [membership.liveness.age_s(name) for name in membership.others]
        return min((*ages, self._up_s())) if ages else 0

    def _platform_silent_s(self) -> float:
        answered_at_s = self._state.platform.answered_at_s
        return min(time.monotonic() - answered_at_s, self._up_s())

    def _up_s(self) -> float:
        return time.monotonic() - self._started_at_s
