"""The daemons that this one knows: where they are and whether they live."""

from __future__ import annotations

import time
from collections.abc import Mapping

from cowslipstep.daemon._known_daemons import KnownDaemons
from cowslipstep.model import DaemonEntry, GossipedLiveness, Heartbeat
from cowslipstep.peers import LivenessTable, PeerView, choose_heartbeat_peers
from cowslipstep.routing import rendezvous_order
from cowslipstep.settings import DaemonSettings

DIRECT_ALIVE_S = 2.5
RELAYED_ALIVE_S = 30


class Membership:
    """Directory and liveness of the other daemons.

    Parameters
    ----------
    settings
        Settings of this daemon.
    incarnation
        Incarnation of this daemon.
    """

    def __init__(self, settings: DaemonSettings, incarnation: int) -> None:
        self._own = DaemonEntry(
            settings.name,
            settings.peer_address,
            settings.failure_domain,
            incarnation,
        )
        self._known = KnownDaemons(
            settings.name,
            [
                DaemonEntry(peer.name, peer.address, peer.failure_domain)
                for peer in settings.peers
            ],
        )
        self._liveness = LivenessTable(time.monotonic)
        self._partners: frozenset[str] = frozenset(self._known.entries)

    @property
    def own(self) -> DaemonEntry:
        """Entry of this daemon."""
        return self._own

    @property
    def known(self) -> KnownDaemons:
        """Entries of the other daemons."""
        return self._known

    @property
    def others(self) -> Mapping[str, DaemonEntry]:
        """The other known daemons by name."""
        return self._known.entries

    @property
    def liveness(self) -> LivenessTable:
        """Last signs of life of the others."""
        return self._liveness

    @property
    def partners(self) -> frozenset[str]:
        """Names of the peers chosen last to exchange heartbeats with."""
        return self._partners

    def choose_heartbeat_peers(self) -> frozenset[str]:
        """Choose the peers to exchange heartbeats with, and return them."""
        alive = frozenset(self._liveness.alive(RELAYED_ALIVE_S))
        seen = PeerView(self._own, self._known.entries, alive)
        self._partners = choose_heartbeat_peers(seen, rendezvous_order)
        return self._partners


def hear_heartbeat(
    membership: Membership,
    heartbeat: Heartbeat,
    sent_at_s: float,
) -> None:
    """Note the sign of life in a heartbeat, and the news it carries."""
    own = GossipedLiveness(
        heartbeat.daemon,
        heartbeat.incarnation,
        0,
        heartbeat.stopping,
    )
    for news in (own, *heartbeat.gossip):
        if news.daemon != membership.own.name:
            membership.liveness.record(news, sent_at_s)
