"""Loads of weights from the rate-limited weight store."""

from __future__ import annotations

from cowslipstep.groups._group_health import HostRecords
from cowslipstep.groups._host_records import HostRecord, HostState
from cowslipstep.groups._ledger import DomainLedger


def must_load(host: str, model: str, records: HostRecords) -> bool:
    """Return whether a host has to load a model's weights, or does so now."""
    report = records.get(host, HostRecord()).report
    if report is None or report.model != model:
        return True
    return report.state == HostState.loading


def count_loading(ledger: DomainLedger, records: HostRecords) -> int:
    """Count the members of groups that have to load weights or do so now."""
    return sum(
        must_load(member, group.model, records)
        for group in ledger.groups
        for member in group.members
    )
