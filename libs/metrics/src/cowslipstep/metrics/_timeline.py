"""Requests by rank and verdict in each five-minute time slot of the day."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.metrics._counters import Sample

TIMELINE_SLOT_S = 300
_REQUESTS = 'requests'


@frozen(order=True)
class TimeSlotKey:
    """Number of a time slot in the day, with a rank and a verdict."""

    slot: int
    rank: str
    verdict: str


@frozen
class TimeSlotCount:
    """Number of requests of a rank that ended in a slot with a verdict."""

    key: TimeSlotKey
    count: int


class RequestTimeline:
    """Counts of requests by time slot, from the growth of their counters.

    Examples
    --------
    >>> from cowslipstep.metrics import CounterKey
    >>> labels = (('rank', 'urgent'), ('verdict', 'completed'))
    >>> timeline = RequestTimeline()
    >>> timeline.record_growth(7, [Sample(CounterKey('requests', labels), 3)])
    >>> timeline.record_growth(8, [Sample(CounterKey('requests', labels), 5)])
    >>> [entry.count for entry in timeline.counts]
    [3, 2]
    """

    def __init__(self) -> None:
        self._last_totals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._count_by_slot: collections.Counter[TimeSlotKey] = (
            collections.Counter()
        )

    @property
    def counts(self) -> tuple[TimeSlotCount, ...]:
        """Counts in order of time."""
        return tuple(
            TimeSlotCount(key, self._count_by_slot[key])
            for key in sorted(self._count_by_slot)
        )

    def record_growth(self, slot: int, counters: Iterable[Sample]) -> None:
        """Add the growth of the counters since the last call to a slot."""
        totals = _totals(counters)
        for (rank, verdict), total in totals.items():
            growth = total - self._last_totals[rank, verdict]
            if growth > 0:
                self._count_by_slot[TimeSlotKey(slot, rank, verdict)] += growth
        self._last_totals = totals

    def clear(self) -> None:
        """Remove all slots, and count growth from zero again."""
        self._last_totals.clear()
        self._count_by_slot.clear()


def _totals(
    counters: Iterable[Sample],
) -> collections.Counter[tuple[str, str]]:
    totals: collections.Counter[tuple[str, str]] = collections.Counter()
    for sample in counters:
        if sample.key.name == _REQUESTS:
            rank = sample.key.label('rank')
            verdict = sample.key.label('verdict')
            totals[rank, verdict] += int(sample.amount)
    return totals
