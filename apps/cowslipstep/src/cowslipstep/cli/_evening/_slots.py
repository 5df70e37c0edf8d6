"""Requests in slots of the day, over all daemons."""

from __future__ import annotations

import collections

from attrs import define, field

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import ratio
from cowslipstep.metrics import SlotCount

_FLOOD_REFUSED_SHARE = 0.05


@define
class Slot:
    """Requests of one slot by rank: all that ended, and those answered."""

    number: int
    asked: collections.Counter[str] = field(factory=collections.Counter)
    answered: collections.Counter[str] = field(factory=collections.Counter)
    refused: int = 0

    @property
    def is_flood(self) -> bool:
        """Whether a good part of the requests was refused."""
        share = ratio(self.refused, self.asked.total())
        return share is not None and share > _FLOOD_REFUSED_SHARE

    @property
    def flooding(self) -> str:
        """The rank that asked most."""
        return self.asked.most_common(1)[0][0]

    def add(self, entry: SlotCount) -> None:
        """Add the requests of one rank and verdict."""
        self.asked[entry.key.rank] += entry.count
        match entry.key.verdict:
            case 'completed':
                self.answered[entry.key.rank] += entry.count
            case 'not_run':
                self.refused += entry.count


def count_slots(facts: Facts) -> list[Slot]:
    """Add up the requests of all daemons in each slot, in order of time."""
    slots: dict[int, Slot] = {}
    for entry in facts.day.timeline:
        number = entry.key.slot
        slots.setdefault(number, Slot(number)).add(entry)
    return [slots[number] for number in sorted(slots)]
