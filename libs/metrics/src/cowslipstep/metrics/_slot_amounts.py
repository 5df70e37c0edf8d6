"""Growth of counters in each slot of the day."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.metrics._counters import Sample


@frozen(order=True)
class SlotAmount:
    """By how much a counter has grown within a slot.

    ``label`` is the model of a downtime in milliseconds, the rank of
    answered tokens.
    """

    slot: int
    label: str
    amount: int


class CounterGrowth:
    """Amounts in slots, taken from the growth of the counters of a name.

    Parameters
    ----------
    name
        Name of the counters.
    label
        Name of the label that tells them apart.

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
        self._seen: dict[str, int] = {}
        self._amounts: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    @property
    def slots(self) -> tuple[SlotAmount, ...]:
        """Amounts in order of time."""
        return tuple(
            SlotAmount(*key, self._amounts[key])
            for key in sorted(self._amounts)
        )

    def record_growth(self, slot: int, counters: Iterable[Sample]) -> None:
        """Give the growth of the counters since the last call to a slot."""
        for sample in counters:
            if sample.key.name == self._name:
                label = sample.key.label(self._label)
                total = int(sample.amount)
                grown = total - self._seen.get(label, 0)
                self._seen[label] = total
                if grown:
                    self._amounts[slot, label] += grown

    def clear(self) -> None:
        """Forget all amounts."""
        self._seen.clear()
        self._amounts.clear()
