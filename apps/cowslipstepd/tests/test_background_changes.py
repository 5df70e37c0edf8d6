"""Tests of ledger changes that are applied in the background."""

import types

import eventlet
import pytest

from cowslipstep.daemon._background_changes import BackgroundChanges
from cowslipstep.daemon._planned_stop import stop_as_planned
from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable

ORDER = types.SimpleNamespace(location='bucket-00ff', retention_s=60)
STATE = types.SimpleNamespace(
    settings=types.SimpleNamespace(unready_delay_s=0, stop_grace_s=1),
    stop_hooks=(),
)


class Ledger:
    """Applies changes with a delay, after a number of failures."""

    def __init__(self, failures):
        self.failures = failures
        self.applied = []

    def apply(self, located):
        eventlet.sleep(0.05)
        if self.failures:
            self.failures -= 1
            raise OrderLedgerUnavailable('no response', may_be_applied=True)
        self.applied.append(located.change)


class Server:
    """A server without requests in progress."""

    def close(self):
        """Close nothing."""

    def wait_finished(self, timeout_s):
        return True


@pytest.mark.parametrize('failures', [0, 1])
def test_a_planned_stop_waits_for_changes(failures):
    ledger = Ledger(failures)
    changes = BackgroundChanges(ledger)
    for change in ('first', 'second'):
        changes.start(ORDER, change)
    STATE.end_hooks = [changes.wait]
    stop_as_planned(Server(), STATE)
    assert sorted(ledger.applied) == ['first', 'second']


def test_no_wait_follows_the_last_attempt(monkeypatch):
    steps = []
    ledger = types.SimpleNamespace(apply=lambda _located: _fail(steps))
    monkeypatch.setattr(eventlet, 'sleep', steps.append)
    BackgroundChanges(ledger).start(ORDER, 'first').wait()
    assert steps[-1] == 'attempt'
    assert steps.count('attempt') == 6


def _fail(steps):
    steps.append('attempt')
    raise OrderLedgerUnavailable('no response', may_be_applied=True)
