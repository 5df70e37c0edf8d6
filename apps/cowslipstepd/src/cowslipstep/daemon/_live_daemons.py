"""Names of live daemons and of those in a failure domain."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cowslipstep.daemon._membership import (
    DIRECT_LIVENESS_TIMEOUT_S,
    GOSSIP_LIVENESS_TIMEOUT_S,
    Membership,
)

_CACHE_LIFETIME_S = 0.1


class LiveDaemons:
    """Names of the live daemons, cached for a short time.

    Parameters
    ----------
    membership
        The known daemons.
    clock
        Monotonic clock, seconds.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Callable[[], float],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._live: tuple[str, ...] = ()
        self._cached_until_s = float('-inf')

    def names(self, stopping: bool) -> tuple[str, ...]:
        """Return the live daemons, without this one if it is ``stopping``.

        A stopping daemon is included if no other one is alive, and so stays
        the owner of what it owns.
        """
        now_s = self._clock()
        if now_s > self._cached_until_s:
            self._live = tuple(_live(self._membership))
            self._cached_until_s = now_s + _CACHE_LIFETIME_S
        if stopping and self._live:
            return self._live
        return (self._membership.own.name, *self._live)


def daemons_in(membership: Membership, failure_domain: str) -> frozenset[str]:
    """Return the known daemons of a failure domain, live or not."""
    entries = (membership.own, *membership.others.values())
    return frozenset(
        entry.name
        for entry in entries
        if entry.failure_domain == failure_domain
    )


def _live(membership: Membership) -> Iterator[str]:
    """Yield the other daemons that are alive.

    The liveness of daemons that are not heartbeat peers arrives by gossip, so
    that it may be older.
    """
    liveness = membership.liveness
    directly_alive = membership.others.keys() & liveness.alive(
        DIRECT_LIVENESS_TIMEOUT_S
    )
    gossiped = membership.others.keys() - membership.heartbeat_peers
    for name in liveness.alive(GOSSIP_LIVENESS_TIMEOUT_S):
        if name in directly_alive or name in gossiped:
            yield name
