"""Newest known ledger of groups of each fabric domain."""

from __future__ import annotations

from cowslipstep.daemon._group_ledgers import ledger_message
from cowslipstep.groups import DomainLedger, VersionedLedger, domain_of_group
from cowslipstep.model import GroupLedgerCopies, GroupLedgerQuery


class KnownGroupLedgers:
    """Holds the newest known version of each ledger.

    Parameters
    ----------
    ledgers
        Ledgers by fabric domain, read by the rest of the daemon; this object
        updates them.
    """

    def __init__(self, ledgers: dict[str, DomainLedger]) -> None:
        self._ledgers = ledgers
        self._newest: dict[str, VersionedLedger] = {}

    def adopt_if_newer(self, found: VersionedLedger) -> None:
        """Use a ledger unless the known version is as new or newer."""
        domain = found.ledger.fabric_domain
        newest = self._newest.get(domain)
        if newest is None or found.version > newest.version:
            self._newest[domain] = found
            self._ledgers[domain] = found.ledger

    def has_group(self, group: str) -> bool:
        """Return whether the ledger of its fabric domain lists a group."""
        ledger = self._ledgers.get(domain_of_group(group))
        groups = () if ledger is None else ledger.groups
        return group in {entry.name for entry in groups}

    def copy_for(self, query: GroupLedgerQuery) -> GroupLedgerCopies:
        """Return the known ledgers that match the query of a peer."""
        return GroupLedgerCopies(
            tuple(
                ledger_message(newest)
                for domain, newest in self._newest.items()
                if query.fabric_domain in {'', domain}
            ),
        )
