"""Domains that were dark."""

from __future__ import annotations

from cowslipstep.groups import (
    DomainOutageDetector,
    HostRecord,
    HostReport,
    HostState,
    record_report,
)

DARK = HostRecord(misses=5)
BACK = record_report(
    HostRecord(), HostReport('h0', 'fab-1', HostState.ready, 0)
)


def test_a_domain_returns_until_all_answer() -> None:
    watch = DomainOutageDetector(float)
    assert not watch.is_unsettled({'h0': DARK, 'h1': BACK})
    assert watch.is_unsettled({'h0': DARK, 'h1': DARK})
    assert watch.is_unsettled({'h0': DARK, 'h1': BACK})
    assert not watch.is_unsettled({'h0': BACK, 'h1': BACK})
    assert not watch.is_unsettled({'h0': DARK, 'h1': BACK})


def test_hosts_that_stay_dark_are_lost_in_the_end() -> None:
    now = [0]
    watch = DomainOutageDetector(lambda: now[0])
    watch.is_unsettled({'h0': DARK, 'h1': DARK})
    assert watch.is_unsettled({'h0': DARK, 'h1': BACK})
    now[0] = 10
    assert not watch.is_unsettled({'h0': DARK, 'h1': BACK})


def test_a_domain_that_goes_dark_is_waited_for() -> None:
    now = [0]
    watch = DomainOutageDetector(lambda: now[0])
    seen = {'h0': DARK, 'h1': HostRecord(misses=1), 'h2': BACK}
    assert watch.is_unsettled(seen)
    now[0] = 3
    assert not watch.is_unsettled(seen)
