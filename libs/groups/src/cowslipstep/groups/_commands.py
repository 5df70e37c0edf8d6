"""Commands that engines still have to be given."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.groups._group_health import HostRecords
from cowslipstep.groups._host_records import HostRecord, HostReport
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
        command = _command_for(runner, ledger.group_of(runner.host))
        if not _is_carried_out(command, record.report, term):
            yield command


def _command_for(runner: Runner, group: Group | None) -> HostCommand:
    if group is None:
        return ReleaseCommand(runner)
    return AssignCommand(runner, group)


def _is_carried_out(
    command: HostCommand, report: HostReport, term: int
) -> bool:
    checks_fencing = command.runner.fencing == Fencing.checked
    if checks_fencing and report.fencing_token < term:
        return False
    match command:
        case AssignCommand(group=group):
            return report.group == group.name
        case ReleaseCommand():
            return not report.group
