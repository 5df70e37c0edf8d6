"""Messages that copy the ledgers of groups between daemons.

A ledger lists the groups of one fabric domain. Daemons copy ledgers from
each other to read the platform less often.
"""

from __future__ import annotations

from attrs import frozen


@frozen
class GroupLedgerQuery:
    """Requests a peer's copy of the ledger of one fabric domain.

    An empty ``fabric_domain`` requests the ledgers of all of them.
    """

    fabric_domain: str = ''


@frozen
class GroupLedgerDocument:
    """Ledger of one fabric domain as a JSON document, and its version."""

    version: int
    document: str


@frozen
class GroupLedgerCopies:
    """Reply to ``GroupLedgerQuery``: the newest ledgers that a peer has."""

    ledgers: tuple[GroupLedgerDocument, ...] = ()
