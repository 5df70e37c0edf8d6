"""Tests of the detection of slow hosts."""

from __future__ import annotations

import pytest

from cowslipstep.groups import (
    DomainLedger,
    DomainView,
    HostRecord,
    HostReport,
    HostState,
    StragglerDetector,
    find_stragglers,
    record_report,
    replaceable_hosts,
)
from cowslipstep.model import Address, Group, Runner

_ADDRESS = Address('127.0.0.1', 80)


class Clock:
    """Clock whose time a test sets."""

    now_s: float = 0

    def __call__(self) -> float:
        """Return the time, seconds."""
        return self.now_s


def _records(*intervals_s: float) -> dict[str, HostRecord]:
    reports = [
        HostReport(
            f'h{index}',
            'fab-1',
            HostState.ready,
            100,
            token_interval_s=interval_s,
        )
        for index, interval_s in enumerate(intervals_s)
    ]
    return {
        report.host: record_report(HostRecord(), report) for report in reports
    }


def test_far_slower_host_is_a_straggler() -> None:
    assert find_stragglers(_records(0.01, 0.01, 0.05)) == {'h2'}


def _observe(
    detector: StragglerDetector, clock: Clock, *intervals_s: float
) -> None:
    """Observe the same reports for two seconds."""
    for _ in range(4):
        detector.observe(_records(*intervals_s))
        clock.now_s += 0.5


def test_host_that_stays_slow_is_excluded() -> None:
    clock = Clock()
    detector = StragglerDetector(clock)
    detector.observe(_records(0.01, 0.01, 0.05))
    assert not detector.excluded_hosts
    _observe(detector, clock, 0.01, 0.01, 0.05)
    assert detector.excluded_hosts == {'h2'}
    clock.now_s += 60
    assert not detector.excluded_hosts


def test_one_slow_report_excludes_no_host() -> None:
    clock = Clock()
    detector = StragglerDetector(clock)
    detector.observe(_records(0.05, 0.01, 0.01))
    _observe(detector, clock, 0.05, 0.05, 0.05)
    detector.observe(_records(0.05, 0.01, 0.01))
    assert not detector.excluded_hosts


@pytest.mark.parametrize(
    ('slow', 'spares', 'replaced'),
    [
        ({'h0'}, 0, set()),
        ({'h0'}, 1, {'h0'}),
        ({'h0', 'h1'}, 1, set()),
        ({'h0', 'h2'}, 1, {'h0'}),
        ({'h0', 'h4'}, 1, {'h4'}),
    ],
)
def test_only_spares_replace_slow_members(slow, spares, replaced) -> None:
    hosts = [f'h{number}' for number in range(4 + spares)]
    idle = [HostReport(host, '', HostState.idle, 100) for host in hosts]
    records = [record_report(HostRecord(), report) for report in idle]
    groups = (
        Group('fab-1', 'drafting', 'fd', ('h0', 'h1')),
        Group('fab-2', 'drafting', 'fd', ('h2', 'h3')),
    )
    view = DomainView(
        DomainLedger('fab', groups),
        tuple(Runner(host, _ADDRESS, 'fd', 'fab') for host in hosts),
        dict(zip(hosts, records, strict=True)),
        now_s=101,
    )
    assert replaceable_hosts(frozenset(slow), view) == replaced
