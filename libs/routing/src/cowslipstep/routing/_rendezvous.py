"""Ownership of names by rendezvous hashing over the live daemons.

Daemons with different views of who is alive may choose different owners, so
a name may have two owners at the same time.

References
----------
D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase
hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

_SCORE_BYTES = 8
_MAX_CACHED_ORDERS = 256


def rendezvous_order(name: str, daemons: Iterable[str]) -> tuple[str, ...]:
    """Order daemons by their score for ``name``; the first one is its owner.

    A daemon that joins or leaves changes only the owners of the names that
    it gains or loses. Orders are cached, since the same few names are looked
    up several times a second while the daemons stay the same.

    Examples
    --------
    >>> rendezvous_order('cell', ['a', 'b', 'c']) == rendezvous_order(
    ...     'cell', ['c', 'b', 'a']
    ... )
    True
    """
    return _cached_order(name, tuple(daemons))


@functools.lru_cache(maxsize=_MAX_CACHED_ORDERS)
def _cached_order(name: str, daemons: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(
        sorted(daemons, key=lambda daemon: _score(name, daemon), reverse=True),
    )


def _score(name: str, daemon: str) -> int:
    digest = hashlib.blake2b(
        f'{daemon}\0{name}'.encode(),
        digest_size=_SCORE_BYTES,
    )
    return int.from_bytes(digest.digest(), 'big')
