"""Which daemons are alive, as heard directly or through others."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from attrs import frozen

from cowslipstep.model import GossipedLiveness


@frozen
class LastHeartbeat:
    """The last sign of life of a daemon.

    ``heard_at_s`` is a reading of the clock, never later than the sign.
    """

    incarnation: int
    heard_at_s: float
    stopping: bool


class LivenessTable:
    """Last signs of life of the other daemons, newest incarnation first.

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
        self._sightings: dict[str, LastHeartbeat] = {}
        self._cursor = 0

    def record(self, news: GossipedLiveness, counted_from_s: float = 0) -> None:
        """Take over a sign of life unless a newer one is known.

        The age counts from ``counted_from_s``, by default from now.
        """
        start_s = counted_from_s or self._clock()
        heard = LastHeartbeat(
            news.incarnation,
            start_s - news.age_s,
            news.stopping,
        )
        known = self._sightings.get(news.daemon)
        if known is None or known.incarnation < heard.incarnation:
            self._sightings[news.daemon] = heard
        elif known.incarnation == heard.incarnation:
            self._sightings[news.daemon] = _latest(known, heard)

    def age_s(self, daemon: str) -> float:
        """Time since a daemon was heard; infinite if never."""
        known = self._sightings.get(daemon)
        if known is None:
            return float('inf')
        return self._clock() - known.heard_at_s

    def alive(self, bound_s: float) -> Iterator[str]:
        """Yield the daemons heard within a bound that are not stopping."""
        oldest_s = self._clock() - bound_s
        for daemon, known in self._sightings.items():
            if known.heard_at_s > oldest_s and not known.stopping:
                yield daemon

    def gossip(
        self,
        wanted: Collection[str],
        limit: int,
    ) -> tuple[GossipedLiveness, ...]:
        """Return what is known of some daemons, the next ``limit`` in turn."""
        names = sorted(self._sightings.keys() & wanted)
        count = min(limit, len(names))
        start = self._cursor
        self._cursor += count
        return tuple(
            self._news_of(names[(start + offset) % len(names)])
            for offset in range(count)
        )

    def _news_of(self, daemon: str) -> GossipedLiveness:
        known = self._sightings[daemon]
        age_s = self._clock() - known.heard_at_s
        return GossipedLiveness(
            daemon, known.incarnation, age_s, known.stopping
        )


def _latest(known: LastHeartbeat, heard: LastHeartbeat) -> LastHeartbeat:
    return LastHeartbeat(
        known.incarnation,
        max(known.heard_at_s, heard.heard_at_s),
        known.stopping or heard.stopping,
    )
