"""Prompt heads that engines have cached, read by a new owner of a cell."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Any

import urllib3

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
        with contextlib.suppress(urllib3.exceptions.HTTPError, ValueError):
            for prefix_hash in parse_prefixes(_events(http, group.address)):
                prefixes.hint(prefix_hash, group.group)


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
