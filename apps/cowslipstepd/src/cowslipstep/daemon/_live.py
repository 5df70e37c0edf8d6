"""Which daemons are alive and where, for soft ownership."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.daemon._membership import (
    DIRECT_ALIVE_S,
    RELAYED_ALIVE_S,
    Membership,
)


def live_daemons(membership: Membership, stopping: bool) -> tuple[str, ...]:
    """Names of the live daemons, this one too unless it is ``stopping``.

    A stopping daemon that knows no other keeps what it owns.
    """
    alive = tuple(_alive(membership))
    if stopping and alive:
        return alive
    return (membership.own.name, *alive)


def daemons_in(membership: Membership, failure_domain: str) -> frozenset[str]:
    """Names of the known daemons of a failure domain, live or not."""
    entries = (membership.own, *membership.others.values())
    return frozenset(
        entry.name
        for entry in entries
        if entry.failure_domain == failure_domain
    )


def _alive(membership: Membership) -> Iterator[str]:
    partners = membership.partners()
    liveness = membership.liveness
    recent = membership.others.keys() & liveness.alive(DIRECT_ALIVE_S)
    relayed = membership.others.keys() - partners
    for name in liveness.alive(RELAYED_ALIVE_S):
        if name in recent or name in relayed:
            yield name
