"""Growth of counters in each five-minute time slot of the day."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.metrics._counters import Sample


@frozen(order=True)
class TimeSlotAmount:
    """By how much a counter has grown within a time slot.

    Parameters
    ----------
    slot
        Number of the slot in the day.
    label
        Model whose groups were down, or rank whose tokens were answered.
    amount
        Growth in the unit of the counter: milliseconds of downtime, or
        tokens.
    """

    slot: int
    label: str
    amount: int


class CounterGrowth:
    """Growth of the counters of one name, by time slot and one label.

    Parameters
    ----------
    name
        Name of the counters.
    label
        Name of the label by which the growth is split.

    Examples
    --------
    >>> from cowslipstep.metrics import CounterKey
    >>> key = CounterKey('group_down_ms', (('model', 'drafting'),))
    >>> amounts = CounterGrowth('group_down_ms', 'model')
    >>> amounts.record_growth(7, [Sample(key, 3)])
    >>> amounts.record_growth(8, [Sample(key, 5)])
    >>> [entry.amount for entry in amounts.slots]
    [3, 2]
    """

    def __init__(self, name: str, label: str) -> None:
        self._name = name
        self._label = label
        self._last_totals: dict[str, int] = {}
        self._amount_by_slot: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    @property
    def slots(self) -> tuple[TimeSlotAmount, ...]:
        """Growth by slot and label, in order of time."""
        return tuple(
            TimeSlotAmount(*key, self._amount_by_slot[key])
            for key in sorted(self._amount_by_slot)
        )

    def record_growth(self, slot: int, counters: Iterable[Sample]) -> None:
        """Add the growth of the counters since the last call to a slot."""
        for sample in counters:
            if sample.key.name == self._name:
                label = sample.key.label(self._label)
                total = int(sample.amount)
                growth = total - self._last_totals.get(label, 0)
                self._last_totals[label] = total
                if growth:
                    self._amount_by_slot[slot, label] += growth

    def clear(self) -> None:
        """Remove all slots, and count growth from zero again."""
        self._last_totals.clear()
        self._amount_by_slot.clear()
