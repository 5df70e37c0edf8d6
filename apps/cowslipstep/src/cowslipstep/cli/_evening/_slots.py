"""Requests in slots of the day, over all daemons."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from attrs import define, field

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import ratio
from cowslipstep.metrics import SlotCount
from cowslipstep.model import Rank


@define
class Slot:
    """Requests of one slot by rank: that ended, answered and refused."""

    number: int
    asked: collections.Counter[str] = field(factory=collections.Counter)
    answered: collections.Counter[str] = field(factory=collections.Counter)
    refused: collections.Counter[str] = field(factory=collections.Counter)

    @property
    def flooding(self) -> str:
        """The rank that asked most."""
        return self.asked.most_common(1)[0][0]

    def is_flood(self, refused_share: float) -> bool:
        """Whether more than a share of all requests was refused."""
        return _is_more(self.refused.total(), self.asked.total(), refused_share)

    def is_below_floor(self, rank: Rank, refused_share: float) -> bool:
        """Whether a rank was refused work while it had less than its floor."""
        name = rank.name
        of_all = ratio(self.answered[name], self.answered.total()) or 0
        refused = _is_more(self.refused[name], self.asked[name], refused_share)
        return refused and of_all < rank.floor_share

    def add(self, entry: SlotCount) -> None:
        """Add the requests of one rank and verdict."""
        self.asked[entry.key.rank] += entry.count
        match entry.key.verdict:
            case 'completed':
                self.answered[entry.key.rank] += entry.count
            case 'not_run':
                self.refused[entry.key.rank] += entry.count


@define
class Flood:
    """Slots in a row in which work was refused."""

    slots: list[Slot]

    @property
    def first(self) -> int:
        """Number of the first slot."""
        return self.slots[0].number

    @property
    def last(self) -> int:
        """Number of the last slot."""
        return self.slots[-1].number

    def whole(self) -> Slot:
        """Add up the slots."""
        added = Slot(self.first)
        for slot in self.slots:
            added.asked.update(slot.asked)
            added.answered.update(slot.answered)
            added.refused.update(slot.refused)
        return added


def count_slots(facts: Facts) -> list[Slot]:
    """Add up the requests of all daemons in each slot, in order of time."""
    slots: dict[int, Slot] = {}
    for entry in facts.day.timeline:
        number = entry.key.slot
        slots.setdefault(number, Slot(number)).add(entry)
    return [slots[number] for number in sorted(slots)]


def find_floods(slots: Iterable[Slot], refused_share: float) -> list[Flood]:
    """Return the floods; slots that follow each other are one flood."""
    floods: list[Flood] = []
    for slot in _flooded(slots, refused_share):
        if floods and floods[-1].last + 1 == slot.number:
            floods[-1].slots.append(slot)
        else:
            floods.append(Flood([slot]))
    return floods


def _flooded(slots: Iterable[Slot], refused_share: float) -> Iterator[Slot]:
    return (slot for slot in slots if slot.is_flood(refused_share))


def _is_more(part: int, whole: int, bound: float) -> bool:
    share = ratio(part, whole)
    return share is not None and share > bound
