"""Ledger of a fabric domain: the groups and the hosts that form them."""

from __future__ import annotations

import itertools
from collections.abc import Collection

from attrs import evolve, frozen

from cowslipstep.model import Group, Runner


@frozen
class Lease:
    """Right of one daemon to change a ledger and to send commands.

    Parameters
    ----------
    holder
        Name of the daemon.
    attempt
        Id that is unique for each update, so that a writer recognises its own.
    duration_s
        Time from an update to the expiry of the lease, seconds; zero if the
        lease was released.
    """

    holder: str
    attempt: str
    duration_s: float


@frozen
class DomainLedger:
    """All groups of one fabric domain, and the lease to change them.

    Groups are formed and dissolved by one conditional update of this object,
    so that no host can be in two of them. The lease is stored in the same
    object, so that updates by a former holder fail.

    Parameters
    ----------
    fabric_domain
        Name of the fabric domain.
    groups
        The groups in force.
    next_number
        Number of the next group that is formed; never reused.
    lease
        The last lease; ``None`` if there never was one.
    """

    fabric_domain: str
    groups: tuple[Group, ...] = ()
    next_number: int = 1
    lease: Lease | None = None

    @property
    def assigned_hosts(self) -> frozenset[str]:
        """Names of the hosts that belong to a group."""
        return frozenset(
            itertools.chain.from_iterable(
                group.members for group in self.groups
            ),
        )

    def group_of(self, host: str) -> Group | None:
        """Return the group of a host; ``None`` without one."""
        for group in self.groups:
            if host in group.members:
                return group
        return None


@frozen
class VersionedLedger:
    """A ledger and its version in the store, which serves as fencing token."""

    version: int
    ledger: DomainLedger


def add_group(
    ledger: DomainLedger,
    model: str,
    members: tuple[Runner, ...],
) -> DomainLedger:
    """Return the ledger with one more group; its first member is the leader.

    Raises
    ------
    ValueError
        If a host already belongs to a group.
    """
    hosts = tuple(runner.host for runner in members)
    assigned = ledger.assigned_hosts.intersection(hosts)
    if assigned:
        raise ValueError(f'hosts already belong to a group: {sorted(assigned)}')
    group = Group(
        name=f'{ledger.fabric_domain}-{ledger.next_number}',
        model=model,
        failure_domain=members[0].failure_domain,
        members=hosts,
    )
    return evolve(
        ledger,
        groups=(*ledger.groups, group),
        next_number=ledger.next_number + 1,
    )


def remove_groups(
    ledger: DomainLedger,
    names: Collection[str],
) -> DomainLedger:
    """Return the ledger without the named groups."""
    kept = [group for group in ledger.groups if group.name not in names]
    return evolve(ledger, groups=tuple(kept))


def domain_of_group(name: str) -> str:
    """Return the fabric domain of a group, which begins the group's name.

    Examples
    --------
    >>> domain_of_group('port-louis-17')
    'port-louis'
    """
    return name.rpartition('-')[0]
