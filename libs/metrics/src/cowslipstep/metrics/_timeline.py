"""Requests by rank and verdict in each slot of the day."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.metrics._counters import Sample

SLOT_S = 300
_REQUESTS = 'requests'


@frozen(order=True)
class SlotKey:
    """A slot of the day, counted from its start, with rank and verdict."""

    slot: int
    rank: str
    verdict: str


@frozen
class SlotCount:
    """Requests that ended within a slot."""

    key: SlotKey
    count: int


class RequestTimeline:
    """Counts of requests in slots, taken from the growth of counters.

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
        self._seen: collections.Counter[tuple[str, str]] = collections.Counter()
        self._slots: collections.Counter[SlotKey] = collections.Counter()

    @property
    def counts(self) -> tuple[SlotCount, ...]:
        """Counts in order of time."""
        return tuple(
            SlotCount(key, self._slots[key]) for key in sorted(self._slots)
        )

    def record_growth(self, slot: int, counters: Iterable[Sample]) -> None:
        """Give the growth of the counters since the last call to a slot."""
        totals = _totals(counters)
        for (rank, verdict), total in totals.items():
            grown = total - self._seen[rank, verdict]
            if grown > 0:
                self._slots[SlotKey(slot, rank, verdict)] += grown
        self._seen = totals

    def clear(self) -> None:
        """Forget all counts."""
        self._seen.clear()
        self._slots.clear()


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
