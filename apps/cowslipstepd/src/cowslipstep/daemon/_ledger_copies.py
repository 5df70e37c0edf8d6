"""Ledgers of fabric domains as other daemons know them."""

from __future__ import annotations

import random
from collections.abc import Iterator

from loguru import logger

from cowslipstep.daemon._ledgers import read_ledger_document
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._membership import Membership
from cowslipstep.groups import VersionedLedger
from cowslipstep.model import GroupLedgerCopies, GroupLedgerQuery
from cowslipstep.peers import PeerUnreachable

_CALL_TIMEOUT_S = 2
_ASKED_PEERS = 3


class LedgerCopies:
    """Asks other daemons for ledgers while the platform does not answer.

    What they know may be old. It serves to find groups, whose hosts tell
    whether they still exist, and never to change a ledger.

    Parameters
    ----------
    membership
        The other daemons.
    links
        Links to them.
    """

    def __init__(self, membership: Membership, links: PeerLinks) -> None:
        self._membership = membership
        self._links = links

    def ask(self, domain: str = '') -> Iterator[VersionedLedger]:
        """Yield the ledgers that a few partners know, of one domain or all."""
        partners = sorted(self._membership.partners)
        count = min(_ASKED_PEERS, len(partners))
        for name in random.sample(partners, count):
            try:
                yield from self._ask(name, domain)
            except (PeerUnreachable, ExceptionGroup) as error:
                logger.debug('no ledgers from {}: {}', name, error)

    def _ask(self, name: str, domain: str) -> Iterator[VersionedLedger]:
        query = GroupLedgerQuery(domain)
        match self._links.call(name, query, _CALL_TIMEOUT_S):
            case GroupLedgerCopies(ledgers):
                yield from map(read_ledger_document, ledgers)
