"""Tests of host records and the readiness that follows from them."""

from __future__ import annotations

import pytest

from cowslipstep.groups import (
    HostRecord,
    HostReport,
    HostState,
    group_readiness,
    record_miss,
    record_report,
)
from cowslipstep.groups._group_health import find_lost_member
from cowslipstep.groups._host_records import is_usable
from cowslipstep.model import Group

GROUP = Group('fab-1', 'drafting', 'fd', ('h0', 'h1'))


def _report(host: str, group: str = 'fab-1', **extra) -> HostReport:
    return HostReport(host, group, HostState.ready, 100, **extra)


def _records(**reports: HostReport) -> dict[str, HostRecord]:
    return {
        host: record_report(HostRecord(), report)
        for host, report in reports.items()
    }


def test_readiness_expires() -> None:
    records = _records(h0=_report('h0'), h1=_report('h1'))
    assert group_readiness(GROUP, records, 101).remaining_s == pytest.approx(
        0.5
    )
    assert not group_readiness(GROUP, records, 102).remaining_s


def test_refusal_ends_readiness_at_once() -> None:
    records = _records(h0=_report('h0'), h1=_report('h1'))
    timed_out = {**records, 'h1': record_miss(records['h1'], refused=False)}
    assert group_readiness(GROUP, timed_out, 100).remaining_s
    refused = {**records, 'h1': record_miss(records['h1'], refused=True)}
    assert not group_readiness(GROUP, refused, 100).remaining_s


def test_failed_host_is_quarantined() -> None:
    failed = HostRecord(misses=3)
    back = record_report(failed, HostReport('h0', '', HostState.idle, 100))
    assert not is_usable(back, 105)
    assert is_usable(back, 110)


def test_member_that_restarted_is_lost() -> None:
    records = _records(h0=_report('h0'), h1=_report('h1'))
    assert not find_lost_member(GROUP, records)
    restarted = HostReport('h1', '', HostState.idle, 101)
    records['h1'] = record_report(records['h1'], restarted)
    assert find_lost_member(GROUP, records) == 'h1'
