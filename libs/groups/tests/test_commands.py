"""Tests of the commands that are due to hosts."""

from __future__ import annotations

import pytest

from cowslipstep.groups import (
    AssignCommand,
    DomainLedger,
    HostCommand,
    HostRecord,
    HostReport,
    HostState,
    ReleaseCommand,
    due_commands,
)
from cowslipstep.model import Address, Fencing, Group, Runner

GROUP = Group('fab-1', 'drafting', 'fd', ('h0',))
LEDGER = DomainLedger('fab', (GROUP,))
TERM = 7


@pytest.mark.parametrize(
    ('host', 'group', 'fencing_token', 'kind'),
    [
        ('h0', '', TERM, AssignCommand),
        ('h0', 'fab-1', TERM, None),
        ('h0', 'fab-1', TERM - 1, AssignCommand),
        ('h1', 'fab-0', TERM, ReleaseCommand),
        ('h1', '', TERM - 1, ReleaseCommand),
        ('h1', '', TERM, None),
    ],
)
def test_due_command(
    host: str,
    group: str,
    fencing_token: int,
    kind: type | None,
) -> None:
    command = _due_command(
        HostReport(host, group, HostState.idle, 0, fencing_token=fencing_token)
    )
    assert kind == (command and type(command))


def test_no_command_for_the_token_alone() -> None:
    """Engines that ignore fencing tokens need no command in each term."""
    report = HostReport('h0', 'fab-1', HostState.ready, 0)
    assert _due_command(report, Fencing.ignored) is None


def _due_command(
    report: HostReport,
    fencing: Fencing = Fencing.checked,
) -> HostCommand | None:
    address = Address('127.0.0.1', 1)
    runner = Runner(report.host, address, 'fd', 'fab', fencing=fencing)
    records = {report.host: HostRecord(report)}
    return next(due_commands(LEDGER, [runner], records, TERM), None)
