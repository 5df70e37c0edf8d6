"""Liveness of the other daemons, from their heartbeats and from gossip."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from attrs import frozen

from cowslipstep.model import GossipedLiveness


@frozen
class LastHeartbeat:
    """The last heartbeat of a daemon, received directly or through gossip.

    ``alive_at_s`` is a reading of the local clock that is never later than
    the heartbeat.
    """

    incarnation: int
    alive_at_s: float
    stopping: bool


class LivenessTable:
    """Last heartbeats of the other daemons, each of its newest incarnation.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> table = LivenessTable(clock=lambda: 10)
    >>> table.record(GossipedLiveness('d1', incarnation=5, age_s=1))
    >>> table.record(GossipedLiveness('d1', incarnation=4, age_s=0))
    >>> table.age_s('d1')
    1
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_heartbeats: dict[str, LastHeartbeat] = {}
        self._cursor = 0

    def record(
        self, liveness: GossipedLiveness, counted_from_s: float = 0
    ) -> None:
        """Record a heartbeat, unless one of a newer incarnation is known.

        Among heartbeats of one incarnation the latest time is kept, and a
        daemon that was stopping once stays so. The age of the heartbeat is
        relative to ``counted_from_s``, a reading of the clock; if that is
        zero, to the current time.
        """
        start_s = counted_from_s or self._clock()
        received = LastHeartbeat(
            liveness.incarnation,
            start_s - liveness.age_s,
            liveness.stopping,
        )
        known = self._last_heartbeats.get(liveness.daemon)
        if known is None or known.incarnation < received.incarnation:
            self._last_heartbeats[liveness.daemon] = received
        elif known.incarnation == received.incarnation:
            self._last_heartbeats[liveness.daemon] = _merge(known, received)

    def age_s(self, daemon: str) -> float:
        """Return the seconds since the last heartbeat, infinite for none."""
        known = self._last_heartbeats.get(daemon)
        if known is None:
            return float('inf')
        return self._clock() - known.alive_at_s

    def alive(self, timeout_s: float) -> Iterator[str]:
        """Yield daemons with a heartbeat in the last ``timeout_s`` seconds.

        Daemons that are stopping are left out.
        """
        oldest_s = self._clock() - timeout_s
        for daemon, known in self._last_heartbeats.items():
            if known.alive_at_s > oldest_s and not known.stopping:
                yield daemon

    def gossip(
        self,
        daemons: Collection[str],
        limit: int,
    ) -> tuple[GossipedLiveness, ...]:
        """Return the liveness of up to ``limit`` of the given daemons.

        Successive calls go through the daemons in turn.
        """
        names = sorted(self._last_heartbeats.keys() & daemons)
        count = min(limit, len(names))
        start = self._cursor
        self._cursor += count
        return tuple(
            self._gossip_about(names[(start + offset) % len(names)])
            for offset in range(count)
        )

    def _gossip_about(self, daemon: str) -> GossipedLiveness:
        known = self._last_heartbeats[daemon]
        age_s = self._clock() - known.alive_at_s
        return GossipedLiveness(
            daemon, known.incarnation, age_s, known.stopping
        )


def _merge(known: LastHeartbeat, received: LastHeartbeat) -> LastHeartbeat:
    return LastHeartbeat(
        known.incarnation,
        max(known.alive_at_s, received.alive_at_s),
        known.stopping or received.stopping,
    )
