"""Heartbeats that this daemon sends, as requests and as replies."""

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
from cowslipstep.peers import MAX_FULL_MESH_DAEMONS, make_readiness_report

_MAX_GOSSIP_ENTRIES_SAME_DOMAIN = 6
_MAX_GOSSIP_ENTRIES_OTHER_DOMAIN = 16


class OwnHeartbeats:
    """Creates the heartbeats of this daemon.

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

    def request(self, known_list_number: int) -> Heartbeat:
        """Return the heartbeat that requests one of a peer.

        ``known_list_number`` is the number of the last list of groups that the
        peer sent; its reply need not repeat that list.
        """
        return Heartbeat(
            self._state.settings.name,
            self._state.incarnation,
            self._state.version,
            self._state.stopping,
            known_list_number,
        )

    def reply(self, received: Heartbeat) -> Heartbeat:
        """Return the heartbeat that answers that of a peer."""
        return Heartbeat(
            self._state.settings.name,
            self._state.incarnation,
            self._state.version,
            self._state.stopping,
            readiness=make_readiness_report(
                self._own_readiness(), received.known_group_list
            ),
            gossip=self._gossip_for(received.daemon),
        )

    def _gossip_for(self, receiver_name: str) -> tuple[GossipedLiveness, ...]:
        membership = self._state.membership
        if len(membership.others) < MAX_FULL_MESH_DAEMONS:
            return ()
        own = membership.own
        receiver = membership.others.get(receiver_name, own)
        same_domain = receiver.failure_domain == own.failure_domain
        return membership.liveness.gossip(
            _gossip_candidates(receiver, membership),
            _MAX_GOSSIP_ENTRIES_SAME_DOMAIN
            if same_domain
            else _MAX_GOSSIP_ENTRIES_OTHER_DOMAIN,
        )


def _gossip_candidates(
    receiver: DaemonEntry, membership: Membership
) -> frozenset[str]:
    """Return the names of the daemons to gossip about.

    To a receiver in the failure domain of this daemon they are those of other
    domains, since each daemon has heartbeat peers in its own domain.
    """
    same_domain = receiver.failure_domain == membership.own.failure_domain
    return frozenset(
        name
        for name, entry in membership.others.items()
        if entry != receiver
        and not (
            same_domain and entry.failure_domain == receiver.failure_domain
        )
    )
