"""Newest known ledger of each fabric domain."""

from __future__ import annotations

from cowslipstep.daemon._ledgers import ledger_document
from cowslipstep.groups import DomainLedger, VersionedLedger, domain_of_group
from cowslipstep.model import GroupLedgerCopies, GroupLedgerQuery


class KnownLedgers:
    """Keeps the newest version of each ledger.

    Parameters
    ----------
    in_use
        Ledgers by fabric domain; kept up to date.
    """

    def __init__(self, in_use: dict[str, DomainLedger]) -> None:
        self._in_use = in_use
        self._newest: dict[str, VersionedLedger] = {}

    def publish(self, found: VersionedLedger) -> None:
        """Put a ledger in use unless a newer one is known."""
        domain = found.ledger.fabric_domain
        newest = self._newest.get(domain)
        if newest is None or found.version > newest.version:
            self._newest[domain] = found
            self._in_use[domain] = found.ledger

    def has_group(self, group: str) -> bool:
        """Whether a group stands in the ledger of its fabric domain."""
        ledger = self._in_use.get(domain_of_group(group))
        known = () if ledger is None else ledger.groups
        return group in {entry.name for entry in known}

    def copy_for(self, query: GroupLedgerQuery) -> GroupLedgerCopies:
        """Return what is known, for a daemon without the platform."""
        return GroupLedgerCopies(
            tuple(
                ledger_document(newest)
                for domain, newest in self._newest.items()
                if query.fabric_domain in {'', domain}
            ),
        )
