"""Which daemons are alive and where, for soft ownership."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cowslipstep.daemon._membership import (
    DIRECT_LIVENESS_TIMEOUT_S,
    GOSSIP_LIVENESS_TIMEOUT_S,
    Membership,
)

_VALID_S = 0.1


class LiveDaemons:
    """Names of the live daemons, worked out anew when they are old.

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
        self._alive: tuple[str, ...] = ()
        self._known_until_s = float('-inf')

    def names(self, stopping: bool) -> tuple[str, ...]:
        """Return the live daemons, this one too unless it is ``stopping``.

        A stopping daemon that knows no other keeps what it owns.
        """
        now_s = self._clock()
        if now_s > self._known_until_s:
            self._alive = tuple(_alive(self._membership))
            self._known_until_s = now_s + _VALID_S
        if stopping and self._alive:
            return self._alive
        return (self._membership.own.name, *self._alive)


def daemons_in(membership: Membership, failure_domain: str) -> frozenset[str]:
    """Names of the known daemons of a failure domain, live or not."""
    entries = (membership.own, *membership.others.values())
    return frozenset(
        entry.name
        for entry in entries
        if entry.failure_domain == failure_domain
    )


def _alive(membership: Membership) -> Iterator[str]:
    liveness = membership.liveness
    recent = membership.others.keys() & liveness.alive(
        DIRECT_LIVENESS_TIMEOUT_S
    )
    relayed = membership.others.keys() - membership.heartbeat_peers
    for name in liveness.alive(GOSSIP_LIVENESS_TIMEOUT_S):
        if name in recent or name in relayed:
            yield name
