"""Messages on the groups that a peer knows."""

from __future__ import annotations

from attrs import frozen


@frozen
class GroupLedgerQuery:
    """Asks a peer for the groups of a fabric domain, or of all if empty."""

    fabric_domain: str = ''


@frozen
class GroupLedgerDocument:
    """Ledger of a fabric domain as a JSON document, and its version."""

    version: int
    document: str


@frozen
class GroupLedgerCopies:
    """The ledgers of fabric domains that a peer knows."""

    ledgers: tuple[GroupLedgerDocument, ...] = ()
