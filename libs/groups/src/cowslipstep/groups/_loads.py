"""Reading of weights from the rate-limited weight store."""

from __future__ import annotations

from cowslipstep.groups._health import HostRecords
from cowslipstep.groups._hosts import HostRecord, HostState
from cowslipstep.groups._ledger import DomainLedger


def must_load(host: str, model: str, records: HostRecords) -> bool:
    """Whether a host would read weights of a model, or does so now."""
    report = records.get(host, HostRecord()).report
    if report is None or report.model != model:
        return True
    return report.state == HostState.loading


def count_loading(ledger: DomainLedger, records: HostRecords) -> int:
    """Count the members of groups that still load weights."""
    return sum(
        must_load(member, group.model, records)
        for group in ledger.groups
        for member in group.members
    )
