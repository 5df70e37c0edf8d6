"""Ledgers as this daemon knows them, read only when they may have changed."""

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
    """Reads all ledgers once, then one whenever an unknown group is heard of.

    While the platform does not answer, other daemons are asked.

    Parameters
    ----------
    state
        State of the daemon.
    copies
        Ledgers that other daemons know.
    """

    def __init__(self, state: DaemonState, copies: PeerLedgers) -> None:
        self._state = state
        self._copies = copies
        self._known = KnownGroupLedgers(state.ledgers)
        self._wanted: Queue[str] = Queue()
        state.readiness.on_new_group(self._want_ledger_of)

    @property
    def known(self) -> KnownGroupLedgers:
        """The newest known ledgers."""
        return self._known

    def run(self) -> None:
        """Read ledgers until the task ends."""
        while not self._read_all():
            eventlet.sleep(_RETRY_DELAY_S)
        while True:
            group = self._wanted.get()
            if not (self._known.has_group(group) or self._read(group)):
                self._wanted.put(group)
                eventlet.sleep(_RETRY_DELAY_S)

    def adopt_if_newer(self, found: VersionedLedger) -> None:
        """Put a ledger in use unless a newer one is known."""
        self._known.adopt_if_newer(found)

    def _want_ledger_of(self, group: str) -> None:
        if not self._known.has_group(group):
            self._wanted.put(group)

    def _read_all(self) -> bool:
        try:
            listed = self._state.platform.read_all(GROUP_LEDGER_KIND)
        except CowslipstepError as error:
            logger.warning('ledgers not read: {}', error)
            _take_over(self._copies.ask(), self._known)
            return False
        for stored in listed:
            self.adopt_if_newer(decode_ledger(stored))
        return True

    def _read(self, group: str) -> bool:
        domain = domain_of_group(group)
        key = ObjectKey(GROUP_LEDGER_KIND, domain)
        try:
            self.adopt_if_newer(decode_ledger(self._state.platform.read(key)))
        except CowslipstepError as error:
            logger.warning('ledger of {} not read: {}', domain, error)
            _take_over(self._copies.ask(domain), self._known)
            return self._known.has_group(group)
        return True


def _take_over(
    told: Iterable[VersionedLedger], known: KnownGroupLedgers
) -> None:
    for found in told:
        known.adopt_if_newer(found)
