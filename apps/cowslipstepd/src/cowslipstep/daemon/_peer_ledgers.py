"""Queries other daemons for their copies of the ledgers of groups."""

from __future__ import annotations

import random
from collections.abc import Iterator

from loguru import logger

from cowslipstep.daemon._group_ledgers import ledger_from_message
from cowslipstep.daemon._links import PeerLinks
from cowslipstep.daemon._membership import Membership
from cowslipstep.groups import VersionedLedger
from cowslipstep.model import GroupLedgerCopies, GroupLedgerQuery
from cowslipstep.peers import PeerUnreachable

_CALL_TIMEOUT_S = 2
_MAX_QUERIED_PEERS = 3


class PeerLedgers:
    """Queries peers for ledgers while the platform does not respond.

    Their copies may be outdated. They are used to find groups, whose hosts
    report whether the groups still exist, and never to change a ledger.

    Parameters
    ----------
    membership
        The other daemons.
    links
        Links to the other daemons.
    """

    def __init__(self, membership: Membership, links: PeerLinks) -> None:
        self._membership = membership
        self._links = links

    def query(self, domain: str = '') -> Iterator[VersionedLedger]:
        """Yield the ledgers that a few random heartbeat peers have.

        Parameters
        ----------
        domain
            Fabric domain of the ledger; all ledgers if it is empty.
        """
        peers = sorted(self._membership.heartbeat_peers)
        count = min(_MAX_QUERIED_PEERS, len(peers))
        for name in random.sample(peers, count):
            try:
                yield from self._query_peer(name, domain)
            except (PeerUnreachable, ExceptionGroup) as error:
                logger.debug('no group ledgers from daemon {}: {}', name, error)

    def _query_peer(self, name: str, domain: str) -> Iterator[VersionedLedger]:
        query = GroupLedgerQuery(domain)
        match self._links.call(name, query, _CALL_TIMEOUT_S):
            case GroupLedgerCopies(ledgers):
                yield from map(ledger_from_message, ledgers)
