"""Choice of the peers that a daemon exchanges heartbeats with."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Protocol

from attrs import frozen

from cowslipstep.model import DaemonEntry

MAX_FULL_MESH_DAEMONS = 16
MAX_LOCAL_PEERS = 15
MAX_LIVE_REMOTE_PEERS = 3


class RendezvousOrder(Protocol):
    """Orders names by a hash of each name and a key."""

    def __call__(self, key: str, names: Iterable[str], /) -> tuple[str, ...]:
        """Return the names in the order of preference."""


@frozen
class PeerView:
    """The other daemons, as one daemon knows them.

    Parameters
    ----------
    own
        The daemon that chooses.
    others
        All other daemons by name.
    alive
        Names of those with a recent heartbeat, received or gossiped.
    """

    own: DaemonEntry
    others: Mapping[str, DaemonEntry]
    alive: Collection[str]


def choose_heartbeat_peers(
    view: PeerView, rendezvous_order: RendezvousOrder
) -> frozenset[str]:
    """Choose the peers to exchange heartbeats with.

    The choice depends on the arguments only. A small fleet is a full mesh.
    In a larger one the number of peers is bounded: peers of the same
    failure domain, a few live ones of other domains (if none is alive, a
    few of any), and one of other domains whether it is alive or not, so
    that the end of a network partition is noticed.

    Parameters
    ----------
    view
        The other daemons.
    rendezvous_order
        Orders names by a hash of each name and a key.
    """
    if len(view.others) < MAX_FULL_MESH_DAEMONS:
        return frozenset(view.others)
    local = _local_names(view)
    remote = rendezvous_order(view.own.name, view.others.keys() - local)
    return frozenset(
        (
            *rendezvous_order(view.own.name, local)[:MAX_LOCAL_PEERS],
            *_choose_remote_peers(remote, view.alive),
        ),
    )


def _local_names(view: PeerView) -> frozenset[str]:
    own_domain = view.own.failure_domain
    return frozenset(
        name
        for name, entry in view.others.items()
        if entry.failure_domain == own_domain
    )


def _choose_remote_peers(
    remote: tuple[str, ...],
    alive: Collection[str],
) -> Iterator[str]:
    live = [name for name in remote if name in alive]
    yield from live[:MAX_LIVE_REMOTE_PEERS]
    yield from remote[: 1 if live else MAX_LIVE_REMOTE_PEERS]
