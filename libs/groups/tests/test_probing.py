"""Division of probes over daemons, and findings of other daemons."""

from __future__ import annotations

import pytest
from attrs import evolve

from cowslipstep.groups import (
    DomainLedger,
    HostRecord,
    HostReport,
    HostState,
    finding_of,
    hosts_to_probe,
    is_probed,
    note_finding,
    note_miss,
    note_report,
)
from cowslipstep.groups._health import lost_member
from cowslipstep.model import Group

GROUPS = (
    Group('fab-1', 'drafting', 'fd', ('h0', 'h1')),
    Group('fab-2', 'drafting', 'fd', ('h2', 'h3')),
)
HOSTS = ('h0', 'h1', 'h2', 'h3', 'h4')
READY = HostReport('h0', 'fab-1', HostState.ready, 100, 'drafting', 2, 7, 0.5)
RECORD = note_report(HostRecord(), READY)


def test_each_host_falls_to_one_daemon() -> None:
    ledger = DomainLedger('fab', GROUPS)
    owners = {'fab-1': 'd0', 'fab-2': 'd1', 'h4': 'd2'}

    def share(daemon: str) -> list[str]:  # noqa: WPS430
        is_owner = owners.__getitem__
        return list(
            hosts_to_probe(ledger, HOSTS, lambda name: is_owner(name) == daemon)
        )

    assert share('d0') == ['h0', 'h1']
    assert share('d1') == ['h2', 'h3']
    assert share('d2') == ['h4']


def test_a_finding_counts_from_before_the_query() -> None:
    finding = finding_of('h0', RECORD, now_s=100.5)
    taken = note_finding(HostRecord(), finding, asked_at_s=20)
    assert taken.report == evolve(READY, heard_at_s=19.5)
    assert taken.ready_group == 'fab-1'


def test_an_older_finding_changes_nothing() -> None:
    idle = HostReport('h0', '', HostState.idle, 99)
    finding = finding_of('h0', note_report(HostRecord(), idle), 100.5)
    taken = note_finding(RECORD, finding, asked_at_s=100)
    assert taken == RECORD
    assert not lost_member(GROUPS[0], {'h0': taken, 'h1': RECORD})


@pytest.mark.parametrize('refused', [True, False])
def test_a_dead_host_is_dead_to_the_keeper(refused) -> None:
    found = RECORD
    for _ in range(3):
        found = note_miss(found, refused=refused)
    finding = finding_of('h0', found, 101)
    assert note_finding(RECORD, finding, 101).failed
    assert lost_member(
        GROUPS[0], {'h0': note_finding(RECORD, finding, 101), 'h1': RECORD}
    )


def test_an_unprobed_group_is_not_reported() -> None:
    records = {'h0': RECORD, 'h1': RECORD}
    assert is_probed(GROUPS[0], records, 101)
    assert not is_probed(GROUPS[0], records, 102)
    assert not is_probed(GROUPS[0], {'h0': RECORD, 'h1': HostRecord()}, 101)
    missed = note_miss(RECORD, refused=False)
    assert is_probed(GROUPS[0], {'h0': RECORD, 'h1': missed}, 101)
