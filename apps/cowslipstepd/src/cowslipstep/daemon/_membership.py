"""The other daemons: their directory entries and whether they are alive."""

from __future__ import annotations

import time
from collections.abc import Mapping

from cowslipstep.daemon._known_daemons import KnownDaemons
from cowslipstep.model import DaemonEntry, GossipedLiveness, Heartbeat
from cowslipstep.peers import LivenessTable, PeerView, choose_heartbeat_peers
from cowslipstep.routing import rendezvous_order
from cowslipstep.settings import DaemonSettings

DIRECT_LIVENESS_TIMEOUT_S = 2.5
GOSSIP_LIVENESS_TIMEOUT_S = 30


class Membership:
    """Directory entries and liveness of the other daemons.

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
        self._heartbeat_peers: frozenset[str] = frozenset(self._known.entries)

    @property
    def own(self) -> DaemonEntry:
        """Directory entry of this daemon."""
        return self._own

    @property
    def known(self) -> KnownDaemons:
        """Directory entries of the other daemons, to add to or remove from."""
        return self._known

    @property
    def others(self) -> Mapping[str, DaemonEntry]:
        """Directory entries of the other daemons by name, read-only."""
        return self._known.entries

    @property
    def liveness(self) -> LivenessTable:
        """Last heartbeats of the others, direct or by gossip."""
        return self._liveness

    @property
    def heartbeat_peers(self) -> frozenset[str]:
        """Names of the peers that were last chosen for heartbeats."""
        return self._heartbeat_peers

    def choose_heartbeat_peers(self) -> frozenset[str]:
        """Choose the peers to exchange heartbeats with, and return them."""
        alive = frozenset(self._liveness.alive(GOSSIP_LIVENESS_TIMEOUT_S))
        view = PeerView(self._own, self._known.entries, alive)
        self._heartbeat_peers = choose_heartbeat_peers(view, rendezvous_order)
        return self._heartbeat_peers


def record_heartbeat(
    membership: Membership,
    heartbeat: Heartbeat,
    sent_at_s: float,
) -> None:
    """Record that the sender is alive, and the gossip it passed on."""
    sender = GossipedLiveness(
        heartbeat.daemon,
        heartbeat.incarnation,
        0,
        heartbeat.stopping,
    )
    for entry in (sender, *heartbeat.gossip):
        if entry.daemon != membership.own.name:
            membership.liveness.record(entry, sent_at_s)
