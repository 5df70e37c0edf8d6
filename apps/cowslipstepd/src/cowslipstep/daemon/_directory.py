"""The platform's directory of daemons, one object a failure domain."""

from __future__ import annotations

import json
import random
import uuid
from collections.abc import Iterable

import eventlet
from attrs import frozen
from loguru import logger

from cowslipstep.daemon._state import DaemonState
from cowslipstep.model import CowslipstepError, DaemonEntry
from cowslipstep.platform import ObjectKey, StoredObject
from cowslipstep.settings import parse_json, structure, unstructure

DIRECTORY_KIND = 'daemons'
_REFRESH_S = 60
_RETRY_S = 3
_SHORTEST = 0.7
_LONGEST = 1.3


@frozen
class DirectoryPage:
    """The daemons of one failure domain, and the change that wrote it."""

    daemons: tuple[DaemonEntry, ...] = ()
    attempt: str = ''


class Directory:
    """Enters this daemon and learns the others.

    Parameters
    ----------
    state
        State of the daemon.
    """

    def __init__(self, state: DaemonState) -> None:
        self._state = state
        domain = state.settings.failure_domain
        self._key = ObjectKey(DIRECTORY_KIND, domain)

    def run(self) -> None:
        """Refresh rarely, until the task is ended."""
        while True:
            delay_s = _REFRESH_S
            try:
                self._refresh()
            except (CowslipstepError, ExceptionGroup) as error:
                logger.debug('directory not refreshed: {}', error)
                delay_s = _RETRY_S
            eventlet.sleep(delay_s * random.uniform(_SHORTEST, _LONGEST))

    def leave(self) -> None:
        """Take this daemon out, in a planned stop."""
        stored = self._state.platform.read(self._key)
        entries = _decode(stored).daemons
        own = self._state.membership.own
        self._write(stored.version, _without(entries, own))

    def _refresh(self) -> None:
        version = 0
        entries: tuple[DaemonEntry, ...] = ()
        for stored in self._state.platform.read_all(DIRECTORY_KIND):
            page = _decode(stored)
            self._learn(page)
            if stored.key == self._key:
                version, entries = stored.version, page.daemons
        own = self._state.membership.own
        if own not in entries:
            self._write(version, (*_without(entries, own), own))

    def _learn(self, page: DirectoryPage) -> None:
        for entry in page.daemons:
            self._state.membership.learn(entry)

    def _write(self, version: int, entries: tuple[DaemonEntry, ...]) -> None:
        attempt = uuid.uuid4().hex
        self._state.platform.update_with_proof(
            self._key,
            version,
            json.dumps(unstructure(DirectoryPage(entries, attempt))),
            attempt,
        )


def _without(
    entries: Iterable[DaemonEntry],
    own: DaemonEntry,
) -> tuple[DaemonEntry, ...]:
    return tuple(
        entry
        for entry in entries
        if entry.name != own.name and entry.address != own.address
    )


def _decode(stored: StoredObject) -> DirectoryPage:
    return structure(parse_json(stored.body), DirectoryPage)
