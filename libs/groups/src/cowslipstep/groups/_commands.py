"""Commands that engines still have to be given."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.groups._health import HostRecords
from cowslipstep.groups._hosts import HostRecord, HostReport
from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Fencing, Group, Runner


@frozen
class AssignCommand:
    """Commands a runner to join a group and to load its model."""

    runner: Runner
    group: Group


@frozen
class ReleaseCommand:
    """Commands a runner to leave whatever group it is in."""

    runner: Runner


HostCommand = AssignCommand | ReleaseCommand


def due_commands(
    ledger: DomainLedger,
    runners: Iterable[Runner],
    records: HostRecords,
    term: int,
) -> Iterator[HostCommand]:
    """Yield a command for each host whose own word differs from the ledger.

    A host that checks fencing numbers and has not seen one of this term
    gets a command too, so that it refuses those of earlier holders.
    """
    for runner in runners:
        record = records.get(runner.host, HostRecord())
        if not record.answers or record.report is None:
            continue
        command = _command(runner, ledger.group_of(runner.host))
        if not _agrees(command, record.report, term):
            yield command


def _command(runner: Runner, group: Group | None) -> HostCommand:
    if group is None:
        return ReleaseCommand(runner)
    return AssignCommand(runner, group)


def _agrees(command: HostCommand, report: HostReport, term: int) -> bool:
    checked = command.runner.fencing == Fencing.checked
    if checked and report.fence < term:
        return False
    match command:
        case AssignCommand(group=group):
            return report.group == group.name
        case ReleaseCommand():
            return not report.group
