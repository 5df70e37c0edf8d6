"""Assembly of the ledger of orders and the execution of orders."""

from __future__ import annotations

from cowslipstep.daemon._forwarding_ledger import ForwardingLedger
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._order_execution import OrderExecution
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._segment_retention import (
    SWEEP_PERIOD_S,
    SegmentRetention,
)
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._state import DaemonState
from cowslipstep.daemon._tasks import repeat, start_task


def start_order_execution(
    state: DaemonState,
    links: PeerLinks,
) -> OrderExecution:
    """Start the tasks of the ledger of orders; return what runs orders.

    From now on this daemon also applies the changes that other daemons
    forward to it. A planned stop waits until all responses are recorded.
    """
    store = SegmentStore(state.platform)
    retention = SegmentRetention(state, store)
    start_task('segment retention', repeat(SWEEP_PERIOD_S, retention.step))
    ledger = OrderLedger(store)
    forwarding = ForwardingLedger(state, ledger, links)
    claims = OrderClaims(forwarding)
    state.end_hooks.append(claims.wait_for_changes)
    return OrderExecution(claims, state.counters)
