"""Conditional updates of a ledger whose answers may be lost."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve, field, frozen

from cowslipstep.groups._ledger import DomainLedger, Lease, VersionedLedger
from cowslipstep.groups._store import (
    LedgerConflict,
    LedgerStore,
    LedgerUnavailable,
)

Clock = Callable[[], float]


@frozen
class Written:
    """What the store holds after an update.

    Parameters
    ----------
    stored
        The ledger in force.
    sent_at_s
        Clock reading before the update was sent; ``None`` if the ledger
        in force is not by this writer.
    """

    stored: VersionedLedger
    sent_at_s: float | None


@frozen
class _Sent:
    version: int
    at_s: float


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
        self, author: LedgerWriterIdentity, store: LedgerStore
    ) -> None:
        self._author = author
        self._store = store
        self._sent: dict[str, _Sent] = {}

    def write(
        self,
        version: int,
        ledger: DomainLedger,
        duration_s: float,
    ) -> Written:
        """Replace the ledger that still has ``version``.

        Raises
        ------
        LedgerUnavailable
            If the outcome could not be learned.
        """
        attempt = self._author.new_attempt()
        lease = Lease(self._author.holder, attempt, duration_s)
        signed = evolve(ledger, lease=lease)
        sent = _Sent(version, self._author.clock())
        self._sent[attempt] = sent
        try:
            version = self._store.write(version, signed)
        except (LedgerConflict, LedgerUnavailable):
            return self.read()
        self._sent = {attempt: sent}
        return Written(VersionedLedger(version, signed), sent.at_s)

    def give_up(self, version: int, ledger: DomainLedger) -> None:
        """Write a lease that has lapsed; forget all earlier updates.

        Raises
        ------
        LedgerConflict
            If the ledger has another version.
        LedgerUnavailable
            If there was no answer.
        """
        self._sent = {}
        lapsed = Lease(self._author.holder, self._author.new_attempt(), 0)
        self._store.write(version, evolve(ledger, lease=lapsed))

    def read(self) -> Written:
        """Read the ledger and tell whether it is this writer's.

        Raises
        ------
        LedgerUnavailable
            If there was no answer.
        """
        stored = self._store.read()
        lease = stored.ledger.lease
        attempt = '' if lease is None else lease.attempt
        self._sent = {
            name: sent
            for name, sent in self._sent.items()
            if name == attempt or sent.version >= stored.version
        }
        sent = self._sent.get(attempt)
        return Written(stored, None if sent is None else sent.at_s)
