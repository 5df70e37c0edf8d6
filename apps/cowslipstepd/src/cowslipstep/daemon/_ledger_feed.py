"""Ledgers as this daemon knows them, read only when they may have changed."""

from __future__ import annotations

import eventlet
from eventlet.queue import Queue
from loguru import logger

from cowslipstep.daemon._ledgers import LEDGER_KIND, decode_ledger
from cowslipstep.daemon._state import DaemonState
from cowslipstep.groups import VersionedLedger, domain_of_group
from cowslipstep.model import CowslipstepError
from cowslipstep.platform import ObjectKey

_RETRY_DELAY_S = 0.5


class LedgerFeed:
    """Reads all ledgers once, then one whenever an unknown group is heard of.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        self._versions: dict[str, int] = {}
        self._wanted: Queue[str] = Queue()
        self._awaited: set[str] = set()
        state.readiness.on_new_group(self._want_ledger_of)

    def run(self) -> None:
        """Read ledgers until the task ends."""
        while not self._read_all():
            eventlet.sleep(_RETRY_DELAY_S)
        while True:
            domain = self._wanted.get()
            # A change after this read was sent must be read again.
            self._awaited.discard(domain)
            if not self._read(domain):
                self.want(domain)
                eventlet.sleep(_RETRY_DELAY_S)

    def want(self, domain: str) -> None:
        """Read the ledger of a domain soon; one read serves all who want it."""
        if domain not in self._awaited:
            self._awaited.add(domain)
            self._wanted.put(domain)

    def publish(self, found: VersionedLedger) -> None:
        """Put a ledger in use unless a newer one is known."""
        domain = found.ledger.fabric_domain
        if found.version > self._versions.get(domain, 0):
            self._versions[domain] = found.version
            self._state.ledgers[domain] = found.ledger

    def _want_ledger_of(self, group: str) -> None:
        domain = domain_of_group(group)
        ledger = self._state.ledgers.get(domain)
        known = () if ledger is None else ledger.groups
        if group not in {entry.name for entry in known}:
            self.want(domain)

    def _read_all(self) -> bool:
        try:
            listed = self._state.platform.read_all(LEDGER_KIND)
        except CowslipstepError as error:
            logger.warning('ledgers not read: {}', error)
            return False
        for stored in listed:
            self.publish(decode_ledger(stored))
        return True

    def _read(self, domain: str) -> bool:
        key = ObjectKey(LEDGER_KIND, domain)
        try:
            self.publish(decode_ledger(self._state.platform.read(key)))
        except CowslipstepError as error:
            logger.warning('ledger of {} not read: {}', domain, error)
            return False
        return True
