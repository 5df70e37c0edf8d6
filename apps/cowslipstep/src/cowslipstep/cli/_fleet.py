"""Daemons, statuses and ledgers as the platform holds them."""

from __future__ import annotations

import time

from cowslipstep.groups import DomainLedger
from cowslipstep.metrics import (
    DaemonIdentity,
    Status,
    decode_index,
    decode_status,
)
from cowslipstep.model import Group
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import parse_json, structure

_STATUS_KIND = 'status'
_INDEX_KIND = 'status-index'
_LEDGER_KIND = 'ledger'


def read_statuses(platform: PlatformClient) -> tuple[Status, ...]:
    """Read all statuses.

    Raises
    ------
    ExceptionGroup
        If one of them cannot be read.
    """
    return tuple(
        decode_status(stored.body) for stored in platform.read_all(_STATUS_KIND)
    )


def read_live(platform: PlatformClient) -> tuple[DaemonIdentity, ...]:
    """Return the daemons that still write, from their small objects.

    Raises
    ------
    ExceptionGroup
        If one of them cannot be read.
    """
    indexes = [
        decode_index(stored.body) for stored in platform.read_all(_INDEX_KIND)
    ]
    now_unix_s = time.time()
    return tuple(
        sorted(index.daemon for index in indexes if index.is_live(now_unix_s)),
    )


def read_groups(platform: PlatformClient) -> tuple[Group, ...]:
    """Read the groups of all fabric domains."""
    ledgers = [
        structure(parse_json(stored.body), DomainLedger)
        for stored in platform.read_all(_LEDGER_KIND)
    ]
    return tuple(group for ledger in ledgers for group in ledger.groups)
