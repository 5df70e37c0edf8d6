"""Finds the groups of a ledger that are broken, draining or still busy."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cowslipstep.groups._host_records import HostRecord, HostState
from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Group

HostRecords = Mapping[str, HostRecord]

_UNPROBED = HostRecord()


def find_lost_member(group: Group, records: HostRecords) -> str:
    """Return the host name of a member that the group lost; empty for none.

    A member is lost if its host has failed, or if it was ready in the group
    and no longer reports the group, for example after a restart.
    """
    for member in group.members:
        record = records.get(member, _UNPROBED)
        if record.failed or _has_left(group, record):
            return member
    return ''


def broken_groups(ledger: DomainLedger, records: HostRecords) -> frozenset[str]:
    """Return the groups that have lost a member.

    While no host of the domain answers, no group counts as broken: no other
    group could be formed, and hosts that were only unreachable serve again
    without a change of the ledger.
    """
    if not any(record.answers for record in records.values()):
        return frozenset()
    return frozenset(
        group.name
        for group in ledger.groups
        if find_lost_member(group, records)
    )


def draining_groups(
    ledger: DomainLedger,
    drain_targets: Collection[str],
    records: HostRecords,
) -> frozenset[str]:
    """Return the groups that have to drain.

    A group has to drain if it is a drain target, or if one of its members is
    a drain target or reports that it is leaving.

    Parameters
    ----------
    ledger
        The ledger in force.
    drain_targets
        Names of groups and hosts that have to drain.
    records
        Records of the probes of hosts.
    """
    names_to_drain = frozenset(drain_targets) | _leaving_hosts(records)
    return frozenset(
        group.name
        for group in ledger.groups
        if group.name in names_to_drain
        or names_to_drain.intersection(group.members)
    )


def count_unfinished_requests(group: Group, records: HostRecords) -> int:
    """Return the number of requests that the leader reported last.

    Queued requests are included. Zero if there is no report.
    """
    report = records.get(group.leader, _UNPROBED).report
    return 0 if report is None else report.unfinished_requests


def has_running_requests(
    group: Group, records: HostRecords, since_s: float
) -> bool:
    """Return whether the leader may have unfinished requests.

    It has none if a probe sent at ``since_s`` or later reported none. A leader
    without such a report counts as running requests; ``broken_groups`` decides
    whether it is lost.
    """
    report = records.get(group.leader, _UNPROBED).report
    if report is None or report.probed_at_s < since_s:
        return True
    return report.unfinished_requests > 0


def _has_left(group: Group, record: HostRecord) -> bool:
    if record.report is None or record.last_ready_group != group.name:
        return False
    return record.report.group != group.name


def _leaving_hosts(records: HostRecords) -> frozenset[str]:
    return frozenset(
        host
        for host, record in records.items()
        if record.report and record.report.state == HostState.leaving
    )
