"""Time without wanted groups in each slot of the day."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.metrics._counters import Sample

_DOWN_MS = 'group_down_ms'


@frozen(order=True)
class SlotDowntime:
    """Time that groups of a model did not serve within a slot.

    Each wanted group counts on its own, so that the time may exceed that of
    the slot.
    """

    slot: int
    model: str
    down_ms: int


class Downtimes:
    """Downtimes in slots, taken from the growth of counters.

    Examples
    --------
    >>> from cowslipstep.metrics import CounterKey
    >>> key = CounterKey('group_down_ms', (('model', 'drafting'),))
    >>> downtimes = Downtimes()
    >>> downtimes.note(7, [Sample(key, 3)])
    >>> downtimes.note(8, [Sample(key, 5)])
    >>> [entry.down_ms for entry in downtimes.slots]
    [3, 2]
    """

    def __init__(self) -> None:
        self._seen: dict[str, int] = {}
        self._down_ms: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    @property
    def slots(self) -> tuple[SlotDowntime, ...]:
        """Downtimes in order of time."""
        return tuple(
            SlotDowntime(*key, self._down_ms[key])
            for key in sorted(self._down_ms)
        )

    def note(self, slot: int, counters: Iterable[Sample]) -> None:
        """Give the growth of the counters since the last call to a slot."""
        for sample in counters:
            if sample.key.name == _DOWN_MS:
                model = sample.key.label('model')
                total = int(sample.amount)
                grown = total - self._seen.get(model, 0)
                self._seen[model] = total
                if grown:
                    self._down_ms[slot, model] += grown

    def clear(self) -> None:
        """Forget all downtimes."""
        self._seen.clear()
        self._down_ms.clear()
