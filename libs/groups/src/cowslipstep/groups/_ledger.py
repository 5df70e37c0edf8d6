"""Ledger of a fabric domain: which hosts form which groups."""

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
        Unique for each write, so that a writer recognises its own.
    duration_s
        Seconds after which an unchanged lease has lapsed; zero when it
        was given up.
    """

    holder: str
    attempt: str
    duration_s: float


@frozen
class DomainLedger:
    """All groups of one fabric domain, and who may change them.

    One conditional update of this object forms, changes or dissolves
    groups, so that no host can be in two of them. The lease lies in the
    same object, so that the update of a former holder fails.

    Parameters
    ----------
    fabric_domain
        Name of the fabric domain.
    groups
        The groups in force.
    next_number
        Number of the next group formed; never reused.
    lease
        The lease in force, if there was ever one.
    """

    fabric_domain: str
    groups: tuple[Group, ...] = ()
    next_number: int = 1
    lease: Lease | None = None

    @property
    def taken_hosts(self) -> frozenset[str]:
        """Hosts that belong to a group."""
        return frozenset(
            itertools.chain.from_iterable(
                group.members for group in self.groups
            ),
        )

    def group_of(self, host: str) -> Group | None:
        """Return the group of a host, if it has one."""
        for group in self.groups:
            if host in group.members:
                return group
        return None


@frozen
class VersionedLedger:
    """A ledger and the platform's version of it, the fencing number."""

    version: int
    ledger: DomainLedger


def add_group(
    ledger: DomainLedger,
    model: str,
    members: tuple[Runner, ...],
) -> DomainLedger:
    """Return the ledger with one more group, whose first member leads.

    Raises
    ------
    ValueError
        If a host is in a group already.
    """
    hosts = tuple(runner.host for runner in members)
    taken = ledger.taken_hosts.intersection(hosts)
    if taken:
        raise ValueError(f'already in a group: {sorted(taken)}')
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


def drop_groups(
    ledger: DomainLedger,
    names: Collection[str],
) -> DomainLedger:
    """Return the ledger without the named groups."""
    kept = [group for group in ledger.groups if group.name not in names]
    return evolve(ledger, groups=tuple(kept))


def domain_of_group(name: str) -> str:
    """Return the fabric domain that a group's name begins with.

    Examples
    --------
    >>> domain_of_group('port-louis-17')
    'port-louis'
    """
    return name.rpartition('-')[0]
