"""Interface of the store that holds ledgers."""

from __future__ import annotations

from typing import Protocol

from cowslipstep.groups._ledger import DomainLedger, VersionedLedger
from cowslipstep.model import CowslipstepError


class LedgerUnavailable(CowslipstepError):
    """The store did not answer; an update may have taken effect."""


class LedgerConflict(CowslipstepError):
    """The ledger has another version than the one to be replaced."""


class LedgerStore(Protocol):
    """Store of the ledger of one fabric domain."""

    def read(self) -> VersionedLedger:
        """Read the ledger.

        Raises
        ------
        LedgerUnavailable
            If the store did not answer.
        """

    def write(self, version: int, ledger: DomainLedger) -> int:
        """Replace the ledger if it has ``version``; return the new version.

        Raises
        ------
        LedgerConflict
            If the ledger has another version.
        LedgerUnavailable
            If the store did not answer; the update may have taken effect.
        """
