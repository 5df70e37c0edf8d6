"""Time slots: segments for the keys issued in the same minute."""

from __future__ import annotations

from collections.abc import Iterator

TIME_SLOT_S = 60
SHARD_COUNT = 16
# Assumed largest difference between any two clocks of callers and daemons.
MAX_CLOCK_SKEW_S = 300
_SEGMENT_PREFIX = 'slot-'


def segment_name(time_slot: int, shard: int) -> str:
    """Return the name of the segment of one shard of a time slot."""
    return f'{_SEGMENT_PREFIX}{time_slot}-{shard}'


def segment_names(time_slot: int) -> Iterator[str]:
    """Yield the names of the segments of all shards of a time slot."""
    for shard in range(SHARD_COUNT):
        yield segment_name(time_slot, shard)


def segment_role(name: str) -> str:
    """Return the role of the daemon that writes a segment.

    Each role has one owner among the daemons. All segments of one shard
    have the same role, whatever their time slot; a bucket has its own role.

    Examples
    --------
    >>> segment_role('slot-29000000-3') == shard_role(3)
    True
    """
    prefix, _, shard = name.rpartition('-')
    if prefix.startswith(_SEGMENT_PREFIX):
        return shard_role(shard)
    return name


def shard_role(shard: int | str) -> str:
    """Return the role of the daemon that writes the segments of a shard."""
    return f'order-shard-{shard}'


def expired_time_slots(
    now_unix_s: float,
    retention_s: float,
    lookback_s: float,
) -> range:
    """Return the newest time slots whose keys have all expired.

    They cover ``lookback_s`` seconds. A slot counts as expired only after
    the retention and twice the largest clock skew, because the clocks of
    daemons may disagree.

    Examples
    --------
    >>> expired_time_slots(now_unix_s=1320, retention_s=600, lookback_s=120)
    range(0, 2)
    """
    end_unix_s = now_unix_s - retention_s - 2 * MAX_CLOCK_SKEW_S
    end = int(end_unix_s // TIME_SLOT_S)
    return range(end - int(lookback_s // TIME_SLOT_S), end)
