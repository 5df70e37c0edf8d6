"""Registration of a daemon at the platform."""

from __future__ import annotations

import ipaddress
import json
import time
from typing import Any

import eventlet
from loguru import logger

from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.model import (
    Address,
    CowslipstepError,
    DaemonEntry,
    DocumentError,
)
from cowslipstep.platform import (
    CallHooks,
    ObjectKey,
    PlatformClient,
    PlatformLimits,
    StoreDialect,
    StoredObject,
    VersionConflict,
)
from cowslipstep.serving._store_restorations import StoreRestorations
from cowslipstep.settings import ServingSettings

DAEMONS_KIND = 'daemons'
_RETRY_DELAY_S = 0.5
_MAX_INCARNATION = 0xFFFFFFFFFFFFFFFF
_MAX_CORES = 65536
# Errors that decoding a malformed entry may raise.
_DECODING_ERRORS = (
    AttributeError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


def own_entry(settings: ServingSettings) -> DaemonEntry:
    """Return the entry of this daemon, with the time as its incarnation."""
    return DaemonEntry(
        settings.name,
        settings.peer_address,
        settings.failure_domain,
        time.time_ns(),
        settings.cores,
    )


def platform_client(
    settings: ServingSettings, limits: PlatformLimits, store: StoreDialect
) -> PlatformClient:
    """Return the client of the platform of this daemon."""
    return PlatformClient(
        settings.platform_address,
        settings.name,
        limits,
        CallHooks(time_limit=call_time_limit),
        store,
    )


def register_daemon(client: PlatformClient, entry: DaemonEntry) -> None:
    """Keep the entry of this daemon stored, retrying until it is.

    A store that came back from an older copy may have lost it. Never returns,
    because a task that returns is started again.
    """
    restorations = StoreRestorations()
    client.eras.observers.append(restorations.record)
    while True:
        restored = restorations.next
        try:
            _write(client, entry)
        except CowslipstepError as error:
            logger.info(
                'registration of this daemon failed, retrying: {}', error
            )
            eventlet.sleep(_RETRY_DELAY_S)
        else:
            restored.wait()


def decode_daemon(stored: StoredObject) -> DaemonEntry:
    """Decode the entry of a daemon.

    Raises
    ------
    DocumentError
        If the text is not JSON, or a field is missing, has another type or is
        out of range.
    """
    try:
        return _daemon_entry(stored.key.name, json.loads(stored.body))
    except _DECODING_ERRORS as error:
        raise DocumentError(str(stored.key), type(error).__name__) from error


def _daemon_entry(name: str, document: dict[str, Any]) -> DaemonEntry:
    failure_domain = document['failureDomain']
    if not isinstance(failure_domain, str):
        raise TypeError('expected the name of a failure domain')
    incarnation = document['incarnation']
    if not isinstance(incarnation, int):
        raise TypeError('expected a whole number')
    cores = document.get('cores', 1)
    if not (0 <= incarnation <= _MAX_INCARNATION and 0 < cores <= _MAX_CORES):
        raise ValueError('incarnation or number of cores is out of range')
    return DaemonEntry(
        name,
        _reachable_address(document['address']),
        failure_domain,
        incarnation,
        cores,
    )


def _reachable_address(text: str) -> Address:
    address = Address.parse(text)
    # A host name would be looked up with each connection.
    ipaddress.ip_address(address.ip)
    if not address.port:
        raise ValueError('no connection can be made to port 0')
    return address


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
