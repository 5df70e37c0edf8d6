"""Statuses and ledgers as the platform holds them."""

from __future__ import annotations

import time

from cowslipstep.groups import DomainLedger
from cowslipstep.metrics import Status, decode_status
from cowslipstep.model import Group
from cowslipstep.platform import PlatformClient
from cowslipstep.settings import parse_json, structure

_STATUS_KIND = 'status'
_LEDGER_KIND = 'ledger'
_FRESH_PERIODS = 3
_FRESH_MARGIN_S = 10


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


def live_statuses(statuses: tuple[Status, ...]) -> tuple[Status, ...]:
    """Return the newest status of each daemon that still writes."""
    newest: dict[str, Status] = {}
    for status in sorted(statuses, key=_written_at):
        newest[status.daemon.name] = status
    return tuple(
        newest[name] for name in sorted(newest) if _is_live(newest[name])
    )


def read_groups(platform: PlatformClient) -> tuple[Group, ...]:
    """Read the groups of all fabric domains."""
    ledgers = [
        structure(parse_json(stored.body), DomainLedger)
        for stored in platform.read_all(_LEDGER_KIND)
    ]
    return tuple(group for ledger in ledgers for group in ledger.groups)


def _written_at(status: Status) -> float:
    return status.written_at_unix_s


def _is_live(status: Status) -> bool:
    longest_s = status.period_s * _FRESH_PERIODS + _FRESH_MARGIN_S
    age_s = time.time() - status.written_at_unix_s
    return age_s < longest_s and not status.stopping
