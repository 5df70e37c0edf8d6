"""What a daemon may rest on in its role: the platform, or its relay."""

from __future__ import annotations

import time

from cowslipstep.routing import RELAY_TIMEOUT_S, Follower, MeshMember, Role

# Longer than the replacement of a failed relay takes, so that followers do not
# turn to the platform meanwhile.
_RELAY_LOSS_TIMEOUT_S = 2 * RELAY_TIMEOUT_S


class RelayReliance:
    """Tells whether a relay reports to this daemon, and since when not."""

    def __init__(self) -> None:
        self._role: Role = MeshMember(frozenset())
        self._has_read_daemons = False
        self._relay_report_s: float = 0
        self._left_relay_s = float('-inf')

    @property
    def current(self) -> Role:
        """The role that was chosen last."""
        return self._role

    @property
    def has_read_daemons(self) -> bool:
        """Whether the list of other daemons has been read."""
        return self._has_read_daemons

    @property
    def relies_on_relay(self) -> bool:
        """Whether reports of a relay replace queries to the platform.

        Also true until the list of other daemons has been read: until then
        the daemon neither watches nor probes runners, and does not acquire
        the lease.
        """
        if not self._has_read_daemons:
            return True
        match self._role:
            case Follower():
                return (
                    time.monotonic() - self._relay_report_s
                    < _RELAY_LOSS_TIMEOUT_S
                )
            case _:
                return False

    @property
    def relay_lost_at_s(self) -> float:
        """When the relay on which this daemon relied was lost.

        Reading of the monotonic clock: in the future while reports arrive,
        minus infinity if there was no relay.
        """
        match self._role:
            case Follower():
                return self._relay_report_s + RELAY_TIMEOUT_S
            case _:
                return self._left_relay_s

    @property
    def has_lost_relay(self) -> bool:
        """Whether this daemon is a follower whose relay is lost."""
        match self._role:
            case Follower():
                return self.relay_lost_at_s <= time.monotonic()
            case _:
                return False
