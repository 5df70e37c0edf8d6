"""Orders that are due."""

from __future__ import annotations

import pytest

from cowslipstep.groups import (
    AssignOrder,
    DomainLedger,
    HostRecord,
    HostReport,
    HostState,
    Order,
    ReleaseOrder,
    due_orders,
)
from cowslipstep.model import Address, Fencing, Group, Runner

GROUP = Group('fab-1', 'drafting', 'fd', ('h0',))
LEDGER = DomainLedger('fab', (GROUP,))
TERM = 7


@pytest.mark.parametrize(
    ('host', 'group', 'fence', 'kind'),
    [
        ('h0', '', TERM, AssignOrder),
        ('h0', 'fab-1', TERM, None),
        ('h0', 'fab-1', TERM - 1, AssignOrder),
        ('h1', 'fab-0', TERM, ReleaseOrder),
        ('h1', '', TERM - 1, ReleaseOrder),
        ('h1', '', TERM, None),
    ],
)
def test_due_order(
    host: str,
    group: str,
    fence: int,
    kind: type | None,
) -> None:
    order = _due_order(HostReport(host, group, HostState.idle, 0, fence=fence))
    assert kind == (order and type(order))


def test_no_order_for_the_number_alone() -> None:
    """Engines that ignore fencing numbers need not see each term's."""
    report = HostReport('h0', 'fab-1', HostState.ready, 0)
    assert _due_order(report, Fencing.ignored) is None


def _due_order(
    report: HostReport,
    fencing: Fencing = Fencing.checked,
) -> Order | None:
    address = Address('127.0.0.1', 1)
    runner = Runner(report.host, address, 'fd', 'fab', fencing=fencing)
    records = {report.host: HostRecord(report)}
    return next(due_orders(LEDGER, [runner], records, TERM), None)
