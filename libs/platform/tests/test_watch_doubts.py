"""Which calls are doubted, and what giving them up shows of the store."""

import pytest

from cowslipstep.model import NotRun, Reason
from cowslipstep.platform import PlatformUnavailable, WatchGivenUp
from cowslipstep.platform._store_contact import StoreContact

SILENT = PlatformUnavailable(
    NotRun(Reason.platform_down), 'GET', is_silent=True
)


def test_a_slow_watch_is_not_doubted_in_calm():
    contact = StoreContact()
    for sent_at_s in range(10):
        contact.record_response(sent_at_s)
    assert contact.doubts.doubt(sent_at_s=0) is None
    assert not contact.doubts.silences


@pytest.mark.parametrize('sent_at_s', [3, 6])
def test_calls_before_a_silence_ended_are_doubted(sent_at_s):
    contact = StoreContact()
    contact.record_error(SILENT, 1)
    contact.record_error(SILENT, 4)
    assert contact.doubts.doubt(sent_at_s) is None
    contact.record_response(5)
    assert bool(contact.doubts.doubt(sent_at_s)) == (sent_at_s < 5)
    assert contact.doubts.silences == 1


def test_calls_that_are_given_up_open_no_breaker():
    contact = StoreContact()
    for sent_at_s in range(5):
        contact.record_error(WatchGivenUp('silent'), sent_at_s)
    assert contact.admit()
    assert contact.doubts.given_up == 5
