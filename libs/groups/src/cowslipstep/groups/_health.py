"""Which groups of a ledger are broken, leaving or at work."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cowslipstep.groups._hosts import HostRecord, HostState
from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Group

HostRecords = Mapping[str, HostRecord]

_UNKNOWN = HostRecord()


def lost_member(group: Group, records: HostRecords) -> str:
    """Return a member that the group has lost, empty for none.

    Lost is a host that does not answer, or that was ready in the group
    and says that it belongs to it no longer, as after a restart.
    """
    for member in group.members:
        record = records.get(member, _UNKNOWN)
        if record.failed or _has_left(group, record):
            return member
    return ''


def broken_groups(ledger: DomainLedger, records: HostRecords) -> frozenset[str]:
    """Return the groups that have lost a member.

    While no host of the domain answers there are none: nothing could be
    formed of them, and hosts that were only unreachable serve again
    without a change.
    """
    if not any(record.answers for record in records.values()):
        return frozenset()
    return frozenset(
        group.name for group in ledger.groups if lost_member(group, records)
    )


def draining_groups(
    ledger: DomainLedger,
    leaving: Collection[str],
    records: HostRecords,
) -> frozenset[str]:
    """Return the groups that are named or that have a leaving member."""
    named = frozenset(leaving) | _leaving_hosts(records)
    return frozenset(
        group.name
        for group in ledger.groups
        if group.name in named or named.intersection(group.members)
    )


def count_running(group: Group, records: HostRecords) -> int:
    """Return the requests that the group's leader last said it runs."""
    report = records.get(group.leader, _UNKNOWN).report
    return 0 if report is None else report.running


def has_running_requests(
    group: Group, records: HostRecords, since_s: float
) -> bool:
    """Whether the leader has not yet said, after ``since_s``, that it is done.

    A leader that does not answer counts as at work; ``broken_groups``
    judges it.
    """
    report = records.get(group.leader, _UNKNOWN).report
    if report is None or report.heard_at_s < since_s:
        return True
    return report.running > 0


def _has_left(group: Group, record: HostRecord) -> bool:
    if record.report is None or record.ready_group != group.name:
        return False
    return record.report.group != group.name


def _leaving_hosts(records: HostRecords) -> frozenset[str]:
    return frozenset(
        host
        for host, record in records.items()
        if record.report and record.report.state == HostState.leaving
    )
