"""Assembly of the runs of keyed orders."""

from __future__ import annotations

from cowslipstep.daemon._keyed import KeyedRuns
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._order_claims import OrderClaims
from cowslipstep.daemon._order_ledger import OrderLedger
from cowslipstep.daemon._segment_store import SegmentStore
from cowslipstep.daemon._shared_ledger import SharedLedger
from cowslipstep.daemon._state import DaemonState


def open_keyed_runs(state: DaemonState, links: PeerLinks) -> KeyedRuns:
    """Return what runs keyed orders, and serve the ledger to other daemons."""
    ledger = OrderLedger(SegmentStore(state.platform))
    shared = SharedLedger(state, ledger, links)
    return KeyedRuns(OrderClaims(shared), state.counters)
