"""Records of hosts."""

from __future__ import annotations

import pytest
from attrs import evolve

from cowslipstep.groups import (
    HostRecord,
    HostReport,
    HostState,
    group_readiness,
    note_miss,
    note_report,
)
from cowslipstep.groups._health import broken_groups, lost_member
from cowslipstep.groups._hosts import is_usable
from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Group

GROUP = Group('fab-1', 'drafting', 'fd', ('h0', 'h1'))
LEDGER = DomainLedger('fab', (GROUP,))


def _report(host: str, group: str = 'fab-1', **extra) -> HostReport:
    return HostReport(host, group, HostState.ready, 100, **extra)


def _records(**reports: HostReport) -> dict[str, HostRecord]:
    return {
        host: note_report(HostRecord(), report)
        for host, report in reports.items()
    }


def test_readiness_runs_out() -> None:
    records = _records(h0=_report('h0'), h1=_report('h1'))
    assert group_readiness(GROUP, records, 101).remaining_s == pytest.approx(
        0.5
    )
    assert not group_readiness(GROUP, records, 102).remaining_s


def test_refusal_ends_readiness_at_once() -> None:
    records = _records(h0=_report('h0'), h1=_report('h1'))
    silent = {**records, 'h1': note_miss(records['h1'], refused=False)}
    assert group_readiness(GROUP, silent, 100).remaining_s
    refused = {**records, 'h1': note_miss(records['h1'], refused=True)}
    assert not group_readiness(GROUP, refused, 100).remaining_s


def test_host_that_failed_is_left_out_for_a_while() -> None:
    failed = HostRecord(misses=3)
    back = note_report(failed, HostReport('h0', '', HostState.idle, 100))
    assert not is_usable(back, 105)
    assert is_usable(back, 110)


def test_member_that_restarted_is_lost() -> None:
    records = _records(h0=_report('h0'), h1=_report('h1'))
    assert not lost_member(GROUP, records)
    restarted = HostReport('h1', '', HostState.idle, 101)
    records['h1'] = note_report(records['h1'], restarted)
    assert lost_member(GROUP, records) == 'h1'


def _probed(record: HostRecord, *times_s: float) -> HostRecord:
    for time_s in times_s:
        record = note_miss(
            record,
            refused=True,
            sent_at_s=time_s,
            noted_at_s=time_s,
        )
    return record


def _heard(record: HostRecord, time_s: float) -> HostRecord:
    report = evolve(_report('h1'), heard_at_s=time_s)
    return note_report(record, report, time_s)


@pytest.mark.parametrize(
    ('heard_s', 'is_broken'),
    [
        ((99,), False),
        ((99, 101.5), True),
    ],
)
def test_group_breaks_if_another_was_heard(
    heard_s: tuple[float, ...], is_broken: bool
) -> None:
    other = HostRecord()
    for time_s in heard_s:
        other = _heard(other, time_s)
    missed = _probed(_heard(HostRecord(), 99), 101, 101.3, 101.6)
    records = {'h0': missed, 'h1': other}
    assert bool(broken_groups(LEDGER, records)) == is_broken


@pytest.mark.parametrize(
    ('later_miss_s', 'is_broken'),
    [((), False), ((111,), True)],
)
def test_domain_back_host_by_host_is_whole(
    later_miss_s: tuple[float, ...], is_broken: bool
) -> None:
    dark = _probed(_heard(HostRecord(), 99), 101, 101.3, 101.6)
    back = _heard(dark, 110)
    still_dark = _probed(dark, *later_miss_s)
    records = {'h0': still_dark, 'h1': back}
    assert bool(broken_groups(LEDGER, records)) == is_broken
