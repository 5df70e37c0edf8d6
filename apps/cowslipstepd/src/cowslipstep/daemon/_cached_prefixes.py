"""Prompt prefixes that engines have cached, for a new owner of a cell."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
import urllib3
from loguru import logger

from cowslipstep.daemon._time_limits import call_time_limit
from cowslipstep.model import Address
from cowslipstep.platform import CheckedPool
from cowslipstep.routing import GroupSlots, PrefixMap

_FETCH_TIMEOUT_S = 1
# Time for a response as a whole.
_FETCH_LIMIT_S = 3
_MAX_EVENTS_BYTES = 8388608
_FETCH_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    RecursionError,
)
_HASH_HEX_DIGITS = 16
_HEX_BASE = 16
_EVENTS_PATH = '/cache-events?after=0'


class CachedPrefixReader:
    """Reads the cache events of the groups of a cell, as routing hints.

    While another daemon owned the cell, this one recorded no prefixes for
    it. After the cell becomes its own, each group is read once, also those
    that appear in the ledger only later.

    Parameters
    ----------
    prefixes
        Records the hints for the dispatcher of the cell.
    """

    def __init__(self, prefixes: PrefixMap) -> None:
        self._prefixes = prefixes
        self._read_groups: frozenset[str] = frozenset()
        self._owned = False

    def read_new_groups(
        self, groups: Iterable[GroupSlots], *, owned: bool
    ) -> None:
        """Start a task that reads the groups not read since the takeover."""
        if owned and not self._owned:
            self._read_groups = frozenset()
        self._owned = owned
        by_name = {group.group: group for group in groups}
        unread = [by_name[name] for name in by_name.keys() - self._read_groups]
        self._read_groups = frozenset(by_name)
        if unread:
            eventlet.spawn_n(self._read_all, unread)

    def _read_all(self, groups: Iterable[GroupSlots]) -> None:
        """Read one group after the other.

        The events are no more than hints: they come late and have gaps.
        """
        for group in groups:
            for prefix_hash in _fetch_hashes(group.address):
                self._prefixes.record_hint(prefix_hash, group.group)


def _fetch_hashes(address: Address) -> list[int]:
    try:
        return list(parse_prefixes(_fetch_events(address)))
    except _FETCH_ERRORS as error:
        # Without hints, routing ignores the caches of the group and engines
        # compute prompts again that they could have found in a cache.
        logger.info(
            'cache events of {} not read, routing has no hints: {!r}',
            address,
            error,
        )
        return []


def parse_prefixes(events: Any) -> Iterator[int]:
    """Yield the hashes of cached prefixes, newest first.

    Raises
    ------
    ValueError
        If ``events`` is not a document with a list of cache events.
    """
    try:
        digests = [event['prefix'] for event in events['stored']]
    except (KeyError, TypeError) as error:
        raise ValueError(
            'expected a document with a list "stored" of cache events'
        ) from error
    for digest in reversed(digests):
        yield int(digest[:_HASH_HEX_DIGITS], _HEX_BASE)


def _fetch_events(address: Address) -> Any:
    with (
        CheckedPool(address.ip, address.port, retries=False) as http,
        call_time_limit(_FETCH_LIMIT_S),
    ):
        response = http.request(
            'GET', _EVENTS_PATH, timeout=_FETCH_TIMEOUT_S, preload_content=False
        )
        return json.loads(response.read(_MAX_EVENTS_BYTES))
