"""Reads ledgers of groups when this daemon may lack their newest version."""

from __future__ import annotations

from collections.abc import Iterable

import eventlet
from eventlet.queue import Queue
from loguru import logger

from cowslipstep.daemon._group_ledgers import GROUP_LEDGER_KIND, decode_ledger
from cowslipstep.daemon._known_group_ledgers import KnownGroupLedgers
from cowslipstep.daemon._peer_ledgers import PeerLedgers
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import VersionedLedger, domain_of_group
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import ObjectKey

_RETRY_DELAY_S = 0.5


class GroupLedgerReader:
    """Reads all ledgers at the start, then one for each unknown group.

    A group is unknown if a peer reports its readiness and no known ledger
    contains it. While the platform does not respond, other daemons are
    queried for their copies.

    Parameters
    ----------
    state
        State of the daemon.
    peer_ledgers
        Queries other daemons for ledgers.
    """

    def __init__(self, state: DaemonState, peer_ledgers: PeerLedgers) -> None:
        self._state = state
        self._peer_ledgers = peer_ledgers
        self._known = KnownGroupLedgers(state.ledgers)
        self._unknown_groups: Queue[str] = Queue()
        state.readiness.on_new_group(self._queue_if_unknown)

    @property
    def known(self) -> KnownGroupLedgers:
        """The newest known ledgers."""
        return self._known

    def run(self) -> None:
        """Read ledgers until the task is ended."""
        while not self._read_all():
            eventlet.sleep(_RETRY_DELAY_S)
        while True:
            group = self._unknown_groups.get()
            if not (self._known.has_group(group) or self._read(group)):
                self._unknown_groups.put(group)
                eventlet.sleep(_RETRY_DELAY_S)

    def adopt_if_newer(self, found: VersionedLedger) -> None:
        """Use a ledger unless a newer version of it is known."""
        self._known.adopt_if_newer(found)

    def _queue_if_unknown(self, group: str) -> None:
        if not self._known.has_group(group):
            self._unknown_groups.put(group)

    def _read_all(self) -> bool:
        """Read all ledgers; return false if the platform did not respond."""
        try:
            listed = self._state.platform.read_all(GROUP_LEDGER_KIND)
        except CowslipstepError as error:
            logger.warning('group ledgers not read, querying peers: {}', error)
            _adopt_newer(self._peer_ledgers.query(), self._known)
            return False
        for stored in listed:
            self.adopt_if_newer(decode_ledger(stored))
        return True

    def _read(self, group: str) -> bool:
        """Read the ledger of a group's fabric domain.

        Returns false if neither the platform responded nor a peer sent a
        ledger with the group.
        """
        domain = domain_of_group(group)
        key = ObjectKey(GROUP_LEDGER_KIND, domain)
        try:
            self.adopt_if_newer(decode_ledger(self._state.platform.read(key)))
        except CowslipstepError as error:
            logger.warning(
                'group ledger of domain {} not read, querying peers: {}',
                domain,
                error,
            )
            _adopt_newer(self._peer_ledgers.query(domain), self._known)
            return self._known.has_group(group)
        return True


def _adopt_newer(
    ledgers: Iterable[VersionedLedger],
    known: KnownGroupLedgers,
) -> None:
    for found in ledgers:
        known.adopt_if_newer(found)
