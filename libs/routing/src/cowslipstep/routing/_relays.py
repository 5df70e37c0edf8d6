"""Which daemons relay reports, so that not all of them tell all others.

Load pattern: many daemons with few requests each. A report from each to each
grows with the square of their number; with a relay for each failure domain
it grows with their number, and a daemon hears of all loads in three hops.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterable

from attrs import frozen

from cowslipstep.model import DaemonEntry

# Up to this many daemons each tells all others, which is faster.
MESH_DAEMONS = 12
# A relay that was not heard for three of its idle reports may be gone.
RELAY_TIMEOUT_S = 1.2


@frozen
class MeshMember:
    """Tells its own report to all others."""

    peers: frozenset[str]


@frozen
class Relay:
    """Tells relays of its followers, and followers of all others."""

    peers: frozenset[str]


@frozen
class Follower:
    """Tells its own report to the relay of its failure domain."""

    peers: frozenset[str]


Role = MeshMember | Relay | Follower

HeardAt = Callable[[str], float]


@frozen
class RelayChoice:
    """Chooses the role of a daemon.

    Relays are taken in one order, known to all: those with the most cores,
    then those that started first. The first one that is heard serves; while
    none is, twice as many are tried after each silence.

    Parameters
    ----------
    own
        Entry of this daemon.
    heard_at_s
        Clock reading at which a relay was last heard; zero for never.
    started_s
        Clock reading at which this daemon started.
    """

    own: DaemonEntry
    heard_at_s: HeardAt
    started_s: float

    def role(self, others: Collection[DaemonEntry], now_s: float) -> Role:
        """Return the role among the daemons that are known now."""
        if len(others) < MESH_DAEMONS:
            return MeshMember(frozenset(entry.name for entry in others))
        domains = _by_domain((self.own, *others))
        near = self._candidates(domains[self.own.failure_domain], now_s)
        if self.own.name not in near:
            return Follower(frozenset(near))
        peers = itertools.chain.from_iterable(
            self._candidates(entries, now_s) for entries in domains.values()
        )
        return Relay(frozenset(peers) - {self.own.name})

    def _candidates(
        self,
        entries: Iterable[DaemonEntry],
        now_s: float,
    ) -> list[str]:
        """Return the relays of a domain up to the first that is heard."""
        names = [entry.name for entry in sorted(entries, key=_preference)]
        for index, name in enumerate(names):
            if now_s - self.heard_at_s(name) < RELAY_TIMEOUT_S:
                return names[: index + 1]
        last_s = max(self.started_s, *map(self.heard_at_s, names))
        tried = names[: 2 ** int((now_s - last_s) / RELAY_TIMEOUT_S)]
        if self.own.name in tried:
            # This daemon relays; it does not hear itself.
            return tried[: tried.index(self.own.name) + 1]
        return tried


def _by_domain(
    entries: Iterable[DaemonEntry],
) -> dict[str, list[DaemonEntry]]:
    domains: dict[str, list[DaemonEntry]] = {}
    for entry in entries:
        domains.setdefault(entry.failure_domain, []).append(entry)
    return domains


def _preference(entry: DaemonEntry) -> tuple[float, int, str]:
    return (-entry.cores, entry.incarnation, entry.name)
