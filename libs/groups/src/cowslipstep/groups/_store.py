"""What controllers need of the store that holds ledgers."""

from __future__ import annotations

from typing import Protocol

from cowslipstep.groups._ledger import DomainLedger, VersionedLedger
from cowslipstep.model import CowslipstepError


class LedgerUnavailable(CowslipstepError):
    """The store gave no answer; a change may have taken effect."""


class LedgerConflict(CowslipstepError):
    """The ledger has another version than the one to be changed."""


class LedgerStore(Protocol):
    """Holds the ledger of one fabric domain."""

    def read(self) -> VersionedLedger:
        """Read the ledger.

        Raises
        ------
        LedgerUnavailable
            If there was no answer.
        """

    def write(self, version: int, ledger: DomainLedger) -> int:
        """Replace the ledger that still has ``version``.

        Raises
        ------
        LedgerConflict
            If it has another version.
        LedgerUnavailable
            If there was no answer.
        """
