"""Where the entry of an idempotency key lies.

The place is a function of workspace and key alone, so that each attempt of
an order meets the same platform object. A key that carries its issue time
(a version 7 UUID) lies in a segment of its time, which many orders share and
which is deleted as a whole; any other key lies in one of many small buckets,
whose expired entries go with the next write.
"""

from __future__ import annotations

import hashlib
import uuid

from attrs import frozen

from cowslipstep.delivery._time_slots import (
    MAX_SKEW_S,
    SHARD_COUNT,
    TIME_SLOT_S,
    segment_name,
)

_TIMED_VERSION = 7
_MS_PER_S = 1000
_TIME_SHIFT_BITS = 80
_BUCKET = 'bucket-'
_BUCKET_CHARS = 4
_DIGEST_CHARS = 32


@frozen
class EntryLocation:
    """Name of a segment and the digest of a key within it.

    ``expires`` is false where the segment is deleted as a whole.
    """

    name: str
    digest: str
    expires: bool


@frozen
class ExpiredKey:
    """The key is older than the retention, so nothing is known of it."""


@frozen
class FutureKey:
    """The key claims an issue time that has not come yet."""


KeyLocation = EntryLocation | ExpiredKey | FutureKey


def digest_of(*parts: bytes) -> str:
    """Return a digest of byte strings.

    Examples
    --------
    >>> digest_of(b'a', b'bc') == digest_of(b'ab', b'c')
    False
    """
    hashed = hashlib.sha256()
    for part in parts:
        hashed.update(f'{len(part)}:'.encode())
        hashed.update(part)
    return hashed.hexdigest()[:_DIGEST_CHARS]


def entry_location(name: str, digest: str) -> EntryLocation:
    """Return the place of a digest in a segment of that name.

    Examples
    --------
    >>> entry_location('bucket-00ff', '00ff').expires
    True
    """
    return EntryLocation(name, digest, expires=name.startswith(_BUCKET))


def locate_key(
    workspace: str,
    key: str,
    now_unix_s: float,
    retention_s: float,
) -> KeyLocation:
    """Say where the entry of a key lies.

    Examples
    --------
    >>> locate_key('joiners', 'order-1', 0, 60).name.startswith('bucket-')
    True
    """
    digest = digest_of(workspace.encode(), key.encode())
    issued_unix_s = _issue_time(key)
    if issued_unix_s is None:
        bucket = digest[:_BUCKET_CHARS]
        return entry_location(f'{_BUCKET}{bucket}', digest)
    if issued_unix_s > now_unix_s + MAX_SKEW_S:
        return FutureKey()
    if issued_unix_s < now_unix_s - retention_s:
        return ExpiredKey()
    shard = int(digest[0], SHARD_COUNT)
    name = segment_name(int(issued_unix_s // TIME_SLOT_S), shard)
    return entry_location(name, digest)


def _issue_time(key: str) -> float | None:
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMED_VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT_BITS) / _MS_PER_S
