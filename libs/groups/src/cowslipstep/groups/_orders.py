"""Orders that engines still have to be given."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.groups._health import Records
from cowslipstep.groups._hosts import HostRecord, HostReport
from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Fencing, Group, Runner


@frozen
class AssignOrder:
    """Orders a runner to join a group and to load its model."""

    runner: Runner
    group: Group


@frozen
class ReleaseOrder:
    """Orders a runner to leave whatever group it is in."""

    runner: Runner


Order = AssignOrder | ReleaseOrder


def due_orders(
    ledger: DomainLedger,
    runners: Iterable[Runner],
    records: Records,
    term: int,
) -> Iterator[Order]:
    """Yield an order for each host whose own word differs from the ledger.

    A host that checks fencing numbers and has not seen one of this term
    gets an order too, so that it refuses those of earlier holders.
    """
    for runner in runners:
        record = records.get(runner.host, HostRecord())
        if not record.answers or record.report is None:
            continue
        order = _order(runner, ledger.group_of(runner.host))
        if not _agrees(order, record.report, term):
            yield order


def _order(runner: Runner, group: Group | None) -> Order:
    if group is None:
        return ReleaseOrder(runner)
    return AssignOrder(runner, group)


def _agrees(order: Order, report: HostReport, term: int) -> bool:
    checked = order.runner.fencing == Fencing.checked
    if checked and report.fence < term:
        return False
    match order:
        case AssignOrder(group=group):
            return report.group == group.name
        case ReleaseOrder():
            return not report.group
