"""Tests of the start and the end of outages of whole domains."""

from __future__ import annotations

from cowslipstep.groups import (
    DomainOutageDetector,
    HostRecord,
    HostReport,
    HostState,
    record_report,
)

FAILED = HostRecord(misses=5)
ANSWERING = record_report(
    HostRecord(), HostReport('h0', 'fab-1', HostState.ready, 0)
)


def test_losses_are_uncertain_until_all_answer() -> None:
    detector = DomainOutageDetector(float)
    assert not detector.are_losses_uncertain({'h0': FAILED, 'h1': ANSWERING})
    assert detector.are_losses_uncertain({'h0': FAILED, 'h1': FAILED})
    assert detector.are_losses_uncertain({'h0': FAILED, 'h1': ANSWERING})
    assert not detector.are_losses_uncertain({'h0': ANSWERING, 'h1': ANSWERING})
    assert not detector.are_losses_uncertain({'h0': FAILED, 'h1': ANSWERING})


def test_hosts_that_stay_unreachable_are_lost() -> None:
    now = [0]
    detector = DomainOutageDetector(lambda: now[0])
    detector.are_losses_uncertain({'h0': FAILED, 'h1': FAILED})
    assert detector.are_losses_uncertain({'h0': FAILED, 'h1': ANSWERING})
    now[0] = 10
    assert not detector.are_losses_uncertain({'h0': FAILED, 'h1': ANSWERING})


def test_losses_are_uncertain_while_most_miss() -> None:
    now = [0]
    detector = DomainOutageDetector(lambda: now[0])
    records = {'h0': FAILED, 'h1': HostRecord(misses=1), 'h2': ANSWERING}
    assert detector.are_losses_uncertain(records)
    now[0] = 3
    assert not detector.are_losses_uncertain(records)
