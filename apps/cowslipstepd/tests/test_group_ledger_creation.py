"""Daemons that start together create one ledger."""

from __future__ import annotations

from typing import Any

from attrs import define

from cowslipstep.daemon._group_ledgers import PlatformGroupLedger, encode_ledger
from cowslipstep.groups import DomainLedger, VersionedLedger
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    StoredObject,
    VersionConflict,
)

OTHER = DomainLedger('ebene', next_number=3)


@define
class PlatformWithRace:
    """A platform at which another daemon creates a ledger first."""

    body: str = ''

    def read(self, key: ObjectKey) -> StoredObject:
        """Return the object once it is created."""
        if not self.body:
            raise ObjectMissing(str(key))
        return StoredObject(key, 1, self.body)

    def create(self, key: ObjectKey, _body: str) -> int:
        """Refuse the object, as another daemon has just created it."""
        self.body = encode_ledger(OTHER)
        raise VersionConflict(str(key))


# A daemon that lost the race stopped its task for the lease.
def test_ledger_of_another_daemon_is_read() -> None:
    platform: Any = PlatformWithRace()
    ledger = PlatformGroupLedger(platform, 'ebene')
    assert ledger.read() == VersionedLedger(1, OTHER)
