"""Conditional updates of a ledger whose answers may be lost."""

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
    """What the store holds after an update.

    Parameters
    ----------
    stored
        The ledger in force.
    sent_at_s
        Clock reading before the update was sent; ``None`` if the ledger
        in force is not by this writer.
    """

    versioned_ledger: VersionedLedger
    own_update_sent_at_s: float | None


@frozen
class _SentUpdate:
    version: int
    sent_at_s: float


@frozen
class LedgerWriterIdentity:
    """Who writes: a holder's name and a source of unique attempt ids."""

    holder: str
    new_attempt: Callable[[], str]
    clock: Clock = field(eq=False)


class LedgerWriter:
    """Writes a ledger, signed by its author.

    An update without an answer is resolved by reading the ledger back: it
    took effect if the ledger carries its attempt id. One that has not
    taken effect yet may do so later, so its id is kept until the ledger
    has a newer version, on which it can no longer take effect.

    Parameters
    ----------
    author
        Who writes.
    store
        Holds the ledger.
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
        """Replace the ledger that still has ``version``.

        Raises
        ------
        LedgerUnavailable
            If the outcome could not be learned.
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

    def write_lapsed_lease(self, version: int, ledger: DomainLedger) -> None:
        """Write a lease that has lapsed; forget all earlier updates.

        Raises
        ------
        LedgerConflict
            If the ledger has another version.
        LedgerUnavailable
            If there was no answer.
        """
        self._sent_updates = {}
        lapsed_lease = Lease(
            self._identity.holder, self._identity.new_attempt(), 0
        )
        self._store.write(version, evolve(ledger, lease=lapsed_lease))

    def read(self) -> LedgerInForce:
        """Read the ledger and tell whether it is this writer's.

        Raises
        ------
        LedgerUnavailable
            If there was no answer.
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
