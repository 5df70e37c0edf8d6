"""Ledgers as other daemons tell them."""

from cowslipstep.daemon._known_ledgers import KnownLedgers
from cowslipstep.daemon._ledgers import read_ledger_document
from cowslipstep.groups import DomainLedger, VersionedLedger
from cowslipstep.model import Group, GroupLedgerQuery

NEW = DomainLedger('ebene', (Group('ebene-2', 'm', 'ebene', ('h',)),), 3)
OLD = DomainLedger('ebene', next_number=2)


def test_an_older_ledger_replaces_no_newer_one():
    in_use = {}
    known = KnownLedgers(in_use)
    known.publish(VersionedLedger(7, NEW))
    known.publish(VersionedLedger(6, OLD))
    assert in_use == {'ebene': NEW}
    assert known.has_group('ebene-2')


def test_copies_carry_ledgers_and_versions():
    known = KnownLedgers({})
    known.publish(VersionedLedger(7, NEW))
    told = known.copy_for(GroupLedgerQuery())
    read = list(map(read_ledger_document, told.ledgers))
    assert read == [VersionedLedger(7, NEW)]
    assert known.copy_for(GroupLedgerQuery('ebene')) == told
    assert not known.copy_for(GroupLedgerQuery('curepipe')).ledgers
