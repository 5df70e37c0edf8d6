"""Prompt heads that engines have cached, read by a new owner of a cell."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
import urllib3
from loguru import logger

from cowslipstep.model import Address
from cowslipstep.routing import GroupSlots, PrefixMap

_TIMEOUT_S = 1
_HASH_DIGITS = 16
_BASE = 16


class PastPrefixes:
    """Reads what the groups of a cell cached while others owned the cell.

    Each group is read once after the cell comes to this daemon: also one
    that this daemon hears of later than of the cell.

    Parameters
    ----------
    prefixes
        Where the hints go.
    """

    def __init__(self, prefixes: PrefixMap) -> None:
        self._prefixes = prefixes
        self._known: frozenset[str] = frozenset()
        self._owned = False

    def follow(self, groups: Iterable[GroupSlots], *, owned: bool) -> None:
        """Start to read the groups that were not read yet."""
        if owned and not self._owned:
            self._known = frozenset()
        self._owned = owned
        by_name = {group.group: group for group in groups}
        unread = [by_name[name] for name in by_name.keys() - self._known]
        self._known = frozenset(by_name)
        if unread:
            eventlet.spawn_n(self._read_all, unread)

    def _read_all(self, groups: Iterable[GroupSlots]) -> None:
        """Read one by one; events are late and have gaps."""
        for group in groups:
            for prefix_hash in _read(group.address):
                self._prefixes.record_hint(prefix_hash, group.group)


def _read(address: Address) -> list[int]:
    try:
        return list(parse_prefixes(_events(address)))
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


def _events(address: Address) -> Any:
    url = f'http://{address}/cache-events?after=0'
    with urllib3.PoolManager(retries=False) as http:
        return http.request('GET', url, timeout=_TIMEOUT_S).json()
