"""Choice of the daemons that relay load reports to the others.

Load pattern: many daemons with few requests each. If each sends its report
to every other, the number of messages grows with the square of the number of
daemons. With one relay in each failure domain it grows linearly, and a
report reaches all daemons in three hops.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Collection, Iterable

from attrs import frozen

from cowslipstep.model import DaemonEntry

# Up to this many daemons each sends its report to all others: one hop is
# faster than three.
MAX_MESH_DAEMONS = 12
# A relay counts as failed after this time without a report, which is three
# periods of the reports that an idle relay sends.
RELAY_TIMEOUT_S = 1.2


@frozen
class MeshMember:
    """Sends its own report to all other daemons."""

    peers: frozenset[str]


@frozen
class Relay:
    """Sends the sum of its failure domain to the relays of the others.

    Its followers receive the sum of all daemons.
    """

    peers: frozenset[str]


@frozen
class Follower:
    """Sends its own report to the relay of its failure domain."""

    peers: frozenset[str]


Role = MeshMember | Relay | Follower

LastReportTime = Callable[[str], float]


@frozen
class RelayChoice:
    """Chooses the role of a daemon.

    All daemons of a failure domain order its daemons in the same way: those
    with the most cores first, then those that started first. The first one
    from which relay reports come is the relay. While there is none, daemons
    report to the first candidate, and to twice as many after each timeout.

    Parameters
    ----------
    own
        Entry of this daemon.
    last_report_s
        Returns the clock reading at which the last report of a relay was
        received; zero for none.
    started_s
        Clock reading at which this daemon started.
    """

    own: DaemonEntry
    last_report_s: LastReportTime
    started_s: float

    def role(self, others: Collection[DaemonEntry], now_s: float) -> Role:
        """Return the role of this daemon beside the others of the fleet."""
        if len(others) < MAX_MESH_DAEMONS:
            return MeshMember(frozenset(entry.name for entry in others))
        domains = _by_domain((self.own, *others))
        own_relays = self._relay_candidates(
            domains[self.own.failure_domain], now_s
        )
        if self.own.name not in own_relays:
            return Follower(frozenset(own_relays))
        peers = itertools.chain.from_iterable(
            self._relay_candidates(entries, now_s)
            for entries in domains.values()
        )
        return Relay(frozenset(peers) - {self.own.name})

    def _relay_candidates(
        self,
        entries: Iterable[DaemonEntry],
        now_s: float,
    ) -> list[str]:
        """Return the daemons of a domain to treat as relays, in order.

        These are all up to the first one that sends reports.
        """
        names = [entry.name for entry in sorted(entries, key=_preference)]
        for index, name in enumerate(names):
            if now_s - self.last_report_s(name) < RELAY_TIMEOUT_S:
                return names[: index + 1]
        last_s = max(self.started_s, *map(self.last_report_s, names))
        candidates = names[: 2 ** int((now_s - last_s) / RELAY_TIMEOUT_S)]
        if self.own.name in candidates:
            # This daemon becomes the relay. It receives no reports of its
            # own, so candidates after it would never be dropped.
            return candidates[: candidates.index(self.own.name) + 1]
        return candidates


def _by_domain(
    entries: Iterable[DaemonEntry],
) -> dict[str, list[DaemonEntry]]:
    domains: dict[str, list[DaemonEntry]] = {}
    for entry in entries:
        domains.setdefault(entry.failure_domain, []).append(entry)
    return domains


def _preference(entry: DaemonEntry) -> tuple[float, int, str]:
    return (-entry.cores, entry.incarnation, entry.name)
