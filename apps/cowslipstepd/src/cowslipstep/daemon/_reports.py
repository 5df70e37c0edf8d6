"""Heartbeats that this daemon sends, as calls and as replies."""

from __future__ import annotations

from collections.abc import Callable

from cowslipstep.daemon._membership import Membership
from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import (
    DaemonEntry,
    GossipedLiveness,
    GroupReadiness,
    Heartbeat,
)
from cowslipstep.peers import FULL_MESH_DAEMONS, make_report

_NEWS_FOR_LOCAL = 6
_NEWS_FOR_REMOTE = 16


class OwnReports:
    """Writes the heartbeats of this daemon.

    Parameters
    ----------
    state
        State of the daemon.
    own_readiness
        Returns the readiness of the groups that this daemon probes.
    """

    def __init__(
        self,
        state: DaemonState,
        own_readiness: Callable[[], tuple[GroupReadiness, ...]],
    ) -> None:
        self._state = state
        self._own_readiness = own_readiness

    def request(self, known_table: int) -> Heartbeat:
        """Return the heartbeat that asks a partner for its own."""
        return Heartbeat(
            self._state.settings.name,
            self._state.incarnation,
            self._state.version,
            self._state.stopping,
            known_table,
        )

    def reply(self, heard: Heartbeat) -> Heartbeat:
        """Return the heartbeat that answers a partner's."""
        return Heartbeat(
            self._state.settings.name,
            self._state.incarnation,
            self._state.version,
            self._state.stopping,
            readiness=make_report(
                self._own_readiness(), heard.known_group_list
            ),
            gossip=self._news_for(heard.daemon),
        )

    def _news_for(self, daemon: str) -> tuple[GossipedLiveness, ...]:
        membership = self._state.membership
        if len(membership.others) < FULL_MESH_DAEMONS:
            return ()
        own = membership.own
        asker = membership.others.get(daemon, own)
        local = asker.failure_domain == own.failure_domain
        return membership.liveness.gossip(
            _wanted_by(asker, membership),
            _NEWS_FOR_LOCAL if local else _NEWS_FOR_REMOTE,
        )


def _wanted_by(asker: DaemonEntry, membership: Membership) -> frozenset[str]:
    local = asker.failure_domain == membership.own.failure_domain
    return frozenset(
        name
        for name, entry in membership.others.items()
        if entry != asker
        and not (local and entry.failure_domain == asker.failure_domain)
    )
