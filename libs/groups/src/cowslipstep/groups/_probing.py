"""Which hosts of a fabric domain a daemon probes."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Collection, Iterator

from cowslipstep.groups._ledger import DomainLedger

_HOSTS_PER_PROBER = 30


def count_probers(hosts: int) -> int:
    """Return by how many daemons the probes of a domain are shared.

    Probes that are due together share a wake-up of the process, so that
    few daemons with many hosts each cost less than many with few.

    Examples
    --------
    >>> count_probers(20), count_probers(117)
    (1, 4)
    """
    return max(1, math.ceil(hosts / _HOSTS_PER_PROBER))


def hosts_to_probe(
    ledger: DomainLedger,
    hosts: Collection[str],
    is_owner: Callable[[str], bool],
) -> Iterator[str]:
    """Yield the hosts of a domain that fall to the daemon that asks.

    The members of a group fall to the owner of its name together, so that
    one daemon can tell whether the group is whole; a host without a group
    falls to the owner of the host's name.

    Examples
    --------
    >>> list(hosts_to_probe(DomainLedger('fab'), ['h0', 'h1'], 'h1'.__eq__))
    ['h1']
    """
    for group in ledger.groups:
        if is_owner(group.name):
            yield from group.members
    taken = ledger.taken_hosts
    for host in hosts:
        if host not in taken and is_owner(host):
            yield host


def groups_table(ledger: DomainLedger | None) -> int:
    """Return a number for the groups of a ledger; zero if there is none.

    Groups are never changed and their names never used again, so the
    names tell all.
    """
    if ledger is None:
        return 0
    names = sorted(group.name for group in ledger.groups)
    return zlib.crc32('\0'.join(names).encode()) or 1
