"""Location of the ledger entry of an idempotency key.

The location depends on workspace and key alone, so that all daemons that
receive the same order use the same platform object.

- A key that contains its issue time (a version 7 UUID) is stored in a
  segment for keys of that time. Many orders share the segment, and it is
  deleted as a whole once all its keys have expired.
- Any other key is stored in one of many small segments, called buckets. The
  next write to a bucket drops its expired entries.
"""

from __future__ import annotations

import hashlib
import uuid

from attrs import frozen

from cowslipstep.delivery._time_slots import (
    MAX_CLOCK_SKEW_S,
    SHARD_COUNT,
    TIME_SLOT_S,
    segment_name,
)

_TIMED_UUID_VERSION = 7
_MS_PER_S = 1000
_UUID_TIME_SHIFT_BITS = 80
_BUCKET_PREFIX = 'bucket-'
_BUCKET_NUMBER_CHARS = 4
_DIGEST_CHARS = 32


@frozen
class EntryLocation:
    """Name of a segment and the digest of a key within it.

    ``in_bucket`` is true if the segment is a bucket, whose entries expire
    one by one; other segments are deleted as a whole.
    """

    segment: str
    digest: str
    in_bucket: bool


@frozen
class ExpiredKey:
    """The key is older than the retention, so its entry may be deleted."""


@frozen
class FutureKey:
    """The issue time in the key is further ahead than clocks may differ."""


KeyLocation = EntryLocation | ExpiredKey | FutureKey


def digest_of(*parts: bytes) -> str:
    """Return a digest of a sequence of byte strings.

    Their lengths are part of the digest, so that sequences with the same
    concatenation differ.

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


def entry_location(segment: str, digest: str) -> EntryLocation:
    """Return the location of a key's digest in the segment of that name.

    Examples
    --------
    >>> entry_location('bucket-00ff', '00ff').in_bucket
    True
    """
    return EntryLocation(
        segment,
        digest,
        in_bucket=segment.startswith(_BUCKET_PREFIX),
    )


def locate_key(
    workspace: str,
    key: str,
    now_unix_s: float,
    retention_s: float,
) -> KeyLocation:
    """Return the location of the entry of an idempotency key.

    Keys that are older than the retention, or whose issue time is further
    ahead than clocks may differ, have no location.

    Examples
    --------
    >>> locate_key('joiners', 'order-1', 0, 60).segment.startswith('bucket-')
    True
    """
    digest = digest_of(workspace.encode(), key.encode())
    issued_unix_s = _issue_time(key)
    if issued_unix_s is None:
        bucket = digest[:_BUCKET_NUMBER_CHARS]
        return entry_location(f'{_BUCKET_PREFIX}{bucket}', digest)
    if issued_unix_s > now_unix_s + MAX_CLOCK_SKEW_S:
        return FutureKey()
    if issued_unix_s < now_unix_s - retention_s:
        return ExpiredKey()
    shard = int(digest[0], SHARD_COUNT)
    segment = segment_name(int(issued_unix_s // TIME_SLOT_S), shard)
    return entry_location(segment, digest)


def _issue_time(key: str) -> float | None:
    """Return the time in a version 7 UUID, Unix seconds, else ``None``."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _TIMED_UUID_VERSION:
        return None
    return (parsed.int >> _UUID_TIME_SHIFT_BITS) / _MS_PER_S
