"""Reading of daemons' indexes, statuses and ledgers from the platform."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

from cowslipstep.cli._decoding import decode_each
from cowslipstep.groups import DomainLedger
from cowslipstep.metrics import (
    DaemonIdentity,
    Status,
    decode_index,
    decode_status,
)
from cowslipstep.model import Group
from cowslipstep.platform import (
    ObjectKey,
    ObjectMissing,
    PlatformClient,
    StoredObject,
)
from cowslipstep.settings import parse_json, structure

_STATUS_KIND = 'status'
_INDEX_KIND = 'status-index'
_LEDGER_KIND = 'ledger'


def read_statuses(
    platform: PlatformClient,
    day: str = '',
) -> tuple[Status, ...]:
    """Read the statuses of a day, given as ``2026-12-04``; else of all days."""
    return tuple(decode_each(_named_statuses(platform, day), decode_status))


def _named_statuses(
    platform: PlatformClient,
    day: str,
) -> Iterator[StoredObject]:
    """Read the statuses that the indexes name, each by a call of its own.

    One response of the platform with all of them would be too large.
    """
    indexes = decode_each(platform.read_all(_INDEX_KIND), decode_index)
    names = {name for index in indexes for name in index.statuses}
    for name in sorted(names):
        if name.endswith(day):
            # A daemon adds a name to its index before it creates the object.
            with contextlib.suppress(ObjectMissing):
                yield platform.read(ObjectKey(_STATUS_KIND, name))


def read_live_daemons(platform: PlatformClient) -> tuple[DaemonIdentity, ...]:
    """Return the daemons whose index objects were written recently."""
    now_unix_s = time.time()
    indexes = decode_each(platform.read_all(_INDEX_KIND), decode_index)
    return tuple(
        sorted(index.daemon for index in indexes if index.is_live(now_unix_s)),
    )


def read_groups(platform: PlatformClient) -> tuple[Group, ...]:
    """Read the groups from the ledgers of all fabric domains."""
    ledgers = decode_each(platform.read_all(_LEDGER_KIND), _decode_ledger)
    return tuple(group for ledger in ledgers for group in ledger.groups)


def _decode_ledger(text: str) -> DomainLedger:
    return structure(parse_json(text), DomainLedger)
