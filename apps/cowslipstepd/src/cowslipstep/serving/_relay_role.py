"""Role of this daemon in telling loads, and whether a relay feeds it."""

from __future__ import annotations

import time
from collections.abc import Collection

from cowslipstep.model import DaemonEntry
from cowslipstep.model.loads import LoadReport
from cowslipstep.routing import (
    RELAY_SILENCE_S,
    Follower,
    MeshMember,
    RelayChoice,
    Role,
)

# A relay that ends is replaced before its followers ask the platform.
_UNFED_S = 2 * RELAY_SILENCE_S


class RelayRole:
    """Follows which relays are heard and chooses the role by it.

    Parameters
    ----------
    own
        Entry of this daemon.
    """

    def __init__(self, own: DaemonEntry) -> None:
        self._heard_s: dict[str, float] = {}
        self._choice = RelayChoice(
            own,
            lambda name: self._heard_s.get(name, 0),
            time.monotonic(),
        )
        self._role: Role = MeshMember(frozenset())
        self._known = False
        self._fed_s: float = 0

    @property
    def current(self) -> Role:
        """The role, as last chosen."""
        return self._role

    @property
    def known(self) -> bool:
        """Whether the other daemons are known."""
        return self._known

    @property
    def fed(self) -> bool:
        """Whether a relay tells what the platform would be asked for.

        A daemon that does not know the others yet waits for a relay.
        """
        if not self._known:
            return True
        match self._role:
            case Follower():
                return time.monotonic() - self._fed_s < _UNFED_S
            case _:
                return False

    def choose(self, others: Collection[DaemonEntry]) -> bool:
        """Choose the role again; return whether it is another one."""
        before = self._role
        now_s = time.monotonic()
        self._role = self._choice.role(others, now_s)
        changed = not (self._known and isinstance(self._role, type(before)))
        self._known = True
        if changed:
            # Its relay has some time to be heard.
            self._fed_s = now_s
        return changed

    def hear(self, report: LoadReport) -> bool:
        """Note a report; return whether it tells all that others do."""
        if not report.relayed:
            return False
        now_s = time.monotonic()
        self._heard_s[report.daemon] = now_s
        match self._role:
            case Follower(peers) if report.daemon in peers:
                self._fed_s = now_s
                return True
            case _:
                return False
