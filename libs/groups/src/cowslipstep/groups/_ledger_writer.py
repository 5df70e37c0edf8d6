"""Conditional updates of a ledger, verified if the store does not answer."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve, field, frozen

from cowslipstep.groups._ledger import DomainLedger, Lease, VersionedLedger
from cowslipstep.groups._ledger_store import (
    LedgerConflict,
    LedgerStore,
    LedgerUnavailable,
)

Clock = Callable[[], float]


@frozen
class LedgerInForce:
    """The ledger in the store, and whether this writer wrote it.

    Parameters
    ----------
    versioned_ledger
        The ledger in force, with its version.
    own_update_sent_at_s
        Clock reading just before the update was sent, seconds; ``None`` if
        another writer wrote the ledger in force.
    """

    versioned_ledger: VersionedLedger
    own_update_sent_at_s: float | None


@frozen
class _SentUpdate:
    version: int
    sent_at_s: float


@frozen
class LedgerWriterIdentity:
    """Identity of a writer.

    Parameters
    ----------
    holder
        Name of the daemon that holds the leases which it writes.
    new_attempt
        Returns a new unique id for an update.
    clock
        Monotonic clock, seconds.
    """

    holder: str
    new_attempt: Callable[[], str]
    clock: Clock = field(eq=False)


class LedgerWriter:
    """Writes a ledger with a lease that names the writer.

    If the store does not answer an update, the writer reads the ledger back:
    the update took effect if the ledger carries its attempt id. An update that
    has not taken effect yet may do so later, so its attempt id is remembered
    until the ledger has a newer version, with which the update fails.

    Parameters
    ----------
    identity
        Identity of the writer.
    store
        Store of the ledger.
    """

    def __init__(
        self, identity: LedgerWriterIdentity, store: LedgerStore
    ) -> None:
        self._identity = identity
        self._store = store
        self._sent_updates: dict[str, _SentUpdate] = {}

    def write(
        self,
        version: int,
        ledger: DomainLedger,
        duration_s: float,
    ) -> LedgerInForce:
        """Replace the ledger if it has ``version``; return the one in force.

        Raises
        ------
        LedgerUnavailable
            If it is unknown whether the update took effect.
        """
        attempt = self._identity.new_attempt()
        lease = Lease(self._identity.holder, attempt, duration_s)
        leased_ledger = evolve(ledger, lease=lease)
        own_update = _SentUpdate(version, self._identity.clock())
        self._sent_updates[attempt] = own_update
        try:
            version = self._store.write(version, leased_ledger)
        except (LedgerConflict, LedgerUnavailable):
            return self.read()
        self._sent_updates = {attempt: own_update}
        return LedgerInForce(
            VersionedLedger(version, leased_ledger), own_update.sent_at_s
        )

    def write_expired_lease(self, version: int, ledger: DomainLedger) -> None:
        """Write an expired lease, and drop all earlier updates.

        An earlier update that takes effect later then does not count as a lease
        of this writer.

        Raises
        ------
        LedgerConflict
            If the ledger has another version.
        LedgerUnavailable
            If the store did not answer; the update may have taken effect.
        """
        self._sent_updates = {}
        expired_lease = Lease(
            self._identity.holder, self._identity.new_attempt(), 0
        )
        self._store.write(version, evolve(ledger, lease=expired_lease))

    def read(self) -> LedgerInForce:
        """Read the ledger and determine whether this writer wrote it.

        Raises
        ------
        LedgerUnavailable
            If the store did not answer.
        """
        versioned_ledger = self._store.read()
        lease = versioned_ledger.ledger.lease
        attempt = '' if lease is None else lease.attempt
        self._sent_updates = {
            name: own_update
            for name, own_update in self._sent_updates.items()
            if name == attempt or own_update.version >= versioned_ledger.version
        }
        own_update = self._sent_updates.get(attempt)
        return LedgerInForce(
            versioned_ledger,
            None if own_update is None else own_update.sent_at_s,
        )
