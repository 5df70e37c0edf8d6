"""What other daemons' probes have found, taken into own records."""

from __future__ import annotations

from attrs import evolve

from cowslipstep.groups._hosts import (
    HostRecord,
    HostReport,
    HostState,
    note_report,
)
from cowslipstep.model import HostFinding


def finding_of(host: str, record: HostRecord, now_s: float) -> HostFinding:
    """Return what a record tells, with its age in place of clock readings."""
    report = record.report
    if report is None:
        return HostFinding(host, record.misses)
    return HostFinding(
        host,
        record.misses,
        answered=True,
        group=report.group,
        state=report.state.value,
        age_s=now_s - report.heard_at_s,
        model=report.model,
        running=report.running,
        fence=report.fence,
        token_s=report.token_s,
    )


def note_finding(
    record: HostRecord,
    finding: HostFinding,
    asked_at_s: float,
) -> HostRecord:
    """Return the record after a finding that was asked for at a time.

    Its age counts from before it was asked for, so that a report never
    passes for newer than it is. One that is older than the record, as
    after an order that the host has answered since, changes nothing.

    Raises
    ------
    ValueError
        If the finding has an unknown state.
    """
    if not finding.answered:
        return evolve(record, misses=finding.misses, report=None)
    report = _report(finding, asked_at_s)
    if record.report and record.report.heard_at_s >= report.heard_at_s:
        return evolve(record, misses=max(record.misses, finding.misses))
    return evolve(note_report(record, report), misses=finding.misses)


def _report(finding: HostFinding, asked_at_s: float) -> HostReport:
    return HostReport(
        finding.host,
        finding.group,
        HostState(finding.state),
        asked_at_s - finding.age_s,
        finding.model,
        finding.running,
        finding.fence,
        finding.token_s,
    )
