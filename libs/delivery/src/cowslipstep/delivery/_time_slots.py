"""Time slots, whose segments hold keys that carry their issue time."""

from __future__ import annotations

from collections.abc import Iterator

TIME_SLOT_S = 60
SHARD_COUNT = 16
MAX_SKEW_S = 300
_SLOT = 'slot-'


def segment_name(slot: int, shard: int) -> str:
    """Return the name of a segment of keys that carry their time."""
    return f'{_SLOT}{slot}-{shard}'


def segment_names(slot: int) -> Iterator[str]:
    """Yield the names of all segments of a time slot."""
    for shard in range(SHARD_COUNT):
        yield segment_name(slot, shard)


def segment_role(name: str) -> str:
    """Return the role of whoever writes a segment.

    The segments of one shard have the same writer, whatever their time.

    Examples
    --------
    >>> segment_role('slot-29000000-3') == shard_role(3)
    True
    """
    kind, _, shard = name.rpartition('-')
    if kind.startswith(_SLOT):
        return shard_role(shard)
    return name


def shard_role(shard: int | str) -> str:
    """Return the role of whoever writes the segments of a shard."""
    return f'order-shard-{shard}'


def expired_time_slots(
    now_unix_s: float,
    retention_s: float,
    sweep_s: float,
) -> range:
    """Return the time slots whose keys are all past the retention.

    Only the newest ``sweep_s`` seconds of them are returned. Clocks of
    daemons may disagree, so a slot is left alone for a while longer.

    Examples
    --------
    >>> expired_time_slots(now_unix_s=1320, retention_s=600, sweep_s=120)
    range(0, 2)
    """
    end_unix_s = now_unix_s - retention_s - 2 * MAX_SKEW_S
    end = int(end_unix_s // TIME_SLOT_S)
    return range(end - int(sweep_s // TIME_SLOT_S), end)
