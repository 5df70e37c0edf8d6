"""Daemons, statuses and ledgers as the platform holds them."""

from __future__ import annotations

import time

from cowslipstep.cli._readable import decode_each
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
    """Read all statuses."""
    listed = platform.read_all(_STATUS_KIND)
    return tuple(decode_each(listed, decode_status))


def read_live(platform: PlatformClient) -> tuple[DaemonIdentity, ...]:
    """Return the daemons that still write, from their small objects."""
    now_unix_s = time.time()
    indexes = decode_each(platform.read_all(_INDEX_KIND), decode_index)
    return tuple(
        sorted(index.daemon for index in indexes if index.is_live(now_unix_s)),
    )


def read_groups(platform: PlatformClient) -> tuple[Group, ...]:
    """Read the groups of all fabric domains."""
    ledgers = decode_each(platform.read_all(_LEDGER_KIND), _decode_ledger)
    return tuple(group for ledger in ledgers for group in ledger.groups)


def _decode_ledger(text: str) -> DomainLedger:
    return structure(parse_json(text), DomainLedger)
