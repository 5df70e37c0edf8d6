"""Prompt heads that engines have cached, read by a new owner of a cell."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import urllib3
from loguru import logger

from cowslipstep.model import Address
from cowslipstep.routing import GroupSlots, PrefixMap

_TIMEOUT_S = 1
_HASH_DIGITS = 16
_BASE = 16


def read_past_prefixes(
    groups: Iterable[GroupSlots],
    prefixes: PrefixMap,
) -> None:
    """Read the past cache events of the leading runners, one by one.

    They are late and have gaps; what cannot be read is left out.
    """
    http = urllib3.PoolManager(retries=False)
    for group in groups:
        for prefix_hash in _read(http, group.address):
            prefixes.hint(prefix_hash, group.group)


def _read(http: urllib3.PoolManager, address: Address) -> list[int]:
    try:
        return list(parse_prefixes(_events(http, address)))
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        # Without hints prompts are only read again.
        logger.info('cache events of {} not read: {!r}', address, error)
        return []


def parse_prefixes(events: Any) -> Iterator[int]:
    """Yield the hashes of cached prefixes, the newest first.

    Raises
    ------
    ValueError
        If it is no list of cache events.
    """
    try:
        digests = [event['prefix'] for event in events['stored']]
    except (KeyError, TypeError) as error:
        raise ValueError('no cache events') from error
    for digest in reversed(digests):
        yield int(digest[:_HASH_DIGITS], _BASE)


def _events(http: urllib3.PoolManager, address: Address) -> Any:
    url = f'http://{address}/cache-events?after=0'
    return http.request('GET', url, timeout=_TIMEOUT_S).json()
