"""Which peers a daemon exchanges heartbeats with."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Protocol

from attrs import frozen

from cowslipstep.model import DaemonEntry

FULL_MESH_DAEMONS = 16
LOCAL_PARTNERS = 15
REMOTE_PARTNERS = 3


class RankNames(Protocol):
    """Orders names by a hash of each of them and of a key."""

    def __call__(self, key: str, names: Iterable[str], /) -> tuple[str, ...]:
        """Return the names, the first choice first."""


@frozen
class PeerView:
    """The other daemons, as seen from one.

    Parameters
    ----------
    own
        The daemon that chooses.
    others
        All others by name.
    alive
        Names of those believed to be alive.
    """

    own: DaemonEntry
    others: Mapping[str, DaemonEntry]
    alive: Collection[str]


def choose_heartbeat_peers(seen: PeerView, rank: RankNames) -> frozenset[str]:
    """Choose the peers to exchange heartbeats with, the same each time.

    A small fleet is a full mesh. In a larger one the number is bounded:
    peers of the own failure domain, a few live ones of others, and one of
    others whatever its state, so that a healed partition is found.

    Parameters
    ----------
    seen
        The other daemons.
    rank
        Orders names by a hash of them and of a key.
    """
    if len(seen.others) < FULL_MESH_DAEMONS:
        return frozenset(seen.others)
    local = _local_names(seen)
    remote = rank(seen.own.name, seen.others.keys() - local)
    return frozenset(
        (
            *rank(seen.own.name, local)[:LOCAL_PARTNERS],
            *_remote_partners(remote, seen.alive),
        ),
    )


def _local_names(seen: PeerView) -> frozenset[str]:
    home = seen.own.failure_domain
    return frozenset(
        name
        for name, entry in seen.others.items()
        if entry.failure_domain == home
    )


def _remote_partners(
    remote: tuple[str, ...],
    alive: Collection[str],
) -> Iterator[str]:
    live = [name for name in remote if name in alive]
    yield from live[:REMOTE_PARTNERS]
    yield from remote[: 1 if live else REMOTE_PARTNERS]
