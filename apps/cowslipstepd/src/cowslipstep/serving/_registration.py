"""Registration of a daemon at the platform."""

from __future__ import annotations

import json
import time

import eventlet
from loguru import logger

from cowslipstep.model import Address, CowslipstepError, DaemonEntry
from cowslipstep.platform import (
    ObjectKey,
    PlatformClient,
    StoredObject,
    VersionConflict,
)
from cowslipstep.settings import ServingSettings

DAEMONS_KIND = 'daemons'
_RETRY_DELAY_S = 0.5


def own_entry(settings: ServingSettings) -> DaemonEntry:
    """Return the entry of this daemon, with the time as its incarnation."""
    return DaemonEntry(
        settings.name,
        settings.peer_address,
        settings.failure_domain,
        time.time_ns(),
        settings.cores,
    )


def register_daemon(client: PlatformClient, entry: DaemonEntry) -> None:
    """Write the entry of this daemon, retrying until it is stored.

    Never returns, because a task that returns is started again.
    """
    while not _is_written(client, entry):
        eventlet.sleep(_RETRY_DELAY_S)
    eventlet.Event().wait()


def decode_daemon(stored: StoredObject) -> DaemonEntry:
    """Decode the entry of a daemon.

    Raises
    ------
    KeyError
        If a field is missing.
    TypeError, ValueError
        If a field has another type, or the text is not JSON.
    """
    document = json.loads(stored.body)
    return DaemonEntry(
        stored.key.name,
        Address.parse(document['address']),
        document['failureDomain'],
        document['incarnation'],
        document.get('cores', 1),
    )


def _is_written(client: PlatformClient, entry: DaemonEntry) -> bool:
    try:
        _write(client, entry)
    except CowslipstepError as error:
        logger.info('registration of this daemon failed, retrying: {}', error)
        return False
    return True


def _write(client: PlatformClient, entry: DaemonEntry) -> None:
    key = ObjectKey(DAEMONS_KIND, entry.name)
    body = json.dumps(
        {
            'address': str(entry.address),
            'failureDomain': entry.failure_domain,
            'incarnation': entry.incarnation,
            'cores': entry.cores,
        },
    )
    try:
        client.create(key, body)
    except VersionConflict:
        client.update(key, client.read(key).version, body)
