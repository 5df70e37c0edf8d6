"""Tests of the newest known ledgers of groups and of their copies."""

from cowslipstep.daemon._group_ledgers import ledger_from_message
from cowslipstep.daemon._known_group_ledgers import KnownGroupLedgers
from cowslipstep.groups import DomainLedger, VersionedLedger
from cowslipstep.model import Group, GroupLedgerQuery

NEW = DomainLedger('ebene', (Group('ebene-2', 'm', 'ebene', ('h',)),), 3)
OLD = DomainLedger('ebene', next_number=2)


def test_an_older_ledger_does_not_replace_a_newer():
    ledgers = {}
    known = KnownGroupLedgers(ledgers)
    known.adopt_if_newer(VersionedLedger(7, NEW))
    known.adopt_if_newer(VersionedLedger(6, OLD))
    assert ledgers == {'ebene': NEW}
    assert known.has_group('ebene-2')


def test_copies_carry_ledgers_and_versions():
    known = KnownGroupLedgers({})
    known.adopt_if_newer(VersionedLedger(7, NEW))
    copies = known.copy_for(GroupLedgerQuery())
    read = list(map(ledger_from_message, copies.ledgers))
    assert read == [VersionedLedger(7, NEW)]
    assert known.copy_for(GroupLedgerQuery('ebene')) == copies
    assert not known.copy_for(GroupLedgerQuery('curepipe')).ledgers
