"""Answers and withdrawals that are applied in the background."""

import types

import eventlet
import pytest

from cowslipstep.daemon._background_changes import Settlements
from cowslipstep.daemon._planned_stop import stop_as_planned
from cowslipstep.daemon._segment_batches import OrderLedgerUnavailable

ORDER = types.SimpleNamespace(place='bucket-00ff', retention_s=60)
STATE = types.SimpleNamespace(
    settings=types.SimpleNamespace(unready_delay_s=0, stop_grace_s=1),
    stop_hooks=(),
)


class Ledger:
    """Applies changes late, after a number of failures."""

    def __init__(self, failures):
        self.failures = failures
        self.applied = []

    def apply(self, placed):
        eventlet.sleep(0.05)
        if self.failures:
            self.failures -= 1
            raise OrderLedgerUnavailable('no answer', unknown=True)
        self.applied.append(placed.change)


class Server:
    """A server without requests in progress."""

    def close(self):
        """Close nothing."""

    def wait_finished(self, timeout_s):
        return True


@pytest.mark.parametrize('failures', [0, 1])
def test_a_planned_stop_waits_for_kept_answers(failures):
    ledger = Ledger(failures)
    settlements = Settlements(ledger)
    for answer in ('first', 'second'):
        settlements.start(ORDER, answer)
    STATE.end_hooks = [settlements.wait]
    stop_as_planned(Server(), STATE)
    assert sorted(ledger.applied) == ['first', 'second']
