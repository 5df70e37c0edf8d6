"""Daemons that have registered themselves at the platform."""

from __future__ import annotations

import json
import time

import eventlet
from loguru import logger

from cowslipstep.model import Address, DaemonEntry
from cowslipstep.platform import (
    KindChanges,
    ObjectKey,
    ObjectMissing,
    ObjectPage,
    PlatformClient,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
)
from cowslipstep.settings import ServingSettings

_KIND = 'daemons'
_RETRY_S = 0.5


class DaemonRegistry:
    """Registers this daemon and follows the others.

    Parameters
    ----------
    settings
        Settings of this daemon.
    """

    def __init__(self, settings: ServingSettings) -> None:
        self._own = DaemonEntry(
            settings.name,
            settings.peer_address,
            settings.failure_domain,
            time.time_ns(),
        )
        self._others: dict[str, DaemonEntry] = {}

    @property
    def kind(self) -> str:
        """Kind of the entries."""
        return _KIND

    @property
    def own(self) -> DaemonEntry:
        """The entry of this daemon."""
        return self._own

    @property
    def others(self) -> dict[str, DaemonEntry]:
        """Entries of the other daemons by name."""
        return self._others

    def register(self, client: PlatformClient) -> None:
        """Write the entry of this daemon, then wait for ever."""
        while not self._write(client):
            eventlet.sleep(_RETRY_S)
        eventlet.Event().wait()

    def replace(self, page: ObjectPage) -> None:
        """Take all entries."""
        self._others.clear()
        for stored in page.objects:
            self._take(stored)

    def apply(self, changes: KindChanges) -> None:
        """Take changed entries."""
        for change in changes.changes:
            if change.removed:
                self._others.pop(change.stored.key.name, None)
            else:
                self._take(change.stored)

    def lose(self) -> None:
        """Keep the entries while the platform cannot be reached."""

    def _take(self, stored: StoredObject) -> None:
        if stored.key.name == self._own.name:
            return
        try:
            entry = _decode(stored)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning('entry of no daemon: {} {}', stored.key, error)
            return
        self._others[entry.name] = entry

    def _write(self, client: PlatformClient) -> bool:
        key = ObjectKey(_KIND, self._own.name)
        try:
            _put(client, key, _encode(self._own))
        except (PlatformUnavailable, VersionConflict, ObjectMissing) as error:
            logger.info('not registered yet: {}', error)
            return False
        return True


def _put(client: PlatformClient, key: ObjectKey, body: str) -> None:
    try:
        client.create(key, body)
    except VersionConflict:
        client.update(key, client.read(key).version, body)


def _encode(entry: DaemonEntry) -> str:
    return json.dumps(
        {
            'address': str(entry.address),
            'failureDomain': entry.failure_domain,
            'incarnation': entry.incarnation,
        },
    )


def _decode(stored: StoredObject) -> DaemonEntry:
    document = json.loads(stored.body)
    return DaemonEntry(
        stored.key.name,
        Address.parse(document['address']),
        document['failureDomain'],
        document['incarnation'],
    )
