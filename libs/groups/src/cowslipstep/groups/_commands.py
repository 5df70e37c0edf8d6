"""Commands that still have to be sent to engines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from cowslipstep.groups._group_health import HostRecords
from cowslipstep.groups._host_records import HostRecord, HostReport
from cowslipstep.groups._ledger import DomainLedger
from cowslipstep.model import Fencing, Group, Runner


@frozen
class AssignCommand:
    """Command to a runner to join a group and to load its model."""

    runner: Runner
    group: Group


@frozen
class ReleaseCommand:
    """Command to a runner to leave the group that it is in, if any."""

    runner: Runner


HostCommand = AssignCommand | ReleaseCommand


def due_commands(
    ledger: DomainLedger,
    runners: Iterable[Runner],
    records: HostRecords,
    term: int,
) -> Iterator[HostCommand]:
    """Yield a command for each host whose report differs from the ledger.

    A host that checks fencing tokens and has received none of this term gets
    a command too, so that it refuses commands of earlier lease holders. Hosts
    that did not answer the last probe get none.
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
