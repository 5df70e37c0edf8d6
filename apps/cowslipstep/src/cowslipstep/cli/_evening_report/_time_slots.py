"""Requests in five-minute slots of the day, and the floods among them."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from attrs import define, field

from cowslipstep.cli._evening_report._formatting import ratio
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.metrics import TimeSlotCount
from cowslipstep.model import Rank


@define
class TimeSlot:
    """Requests that ended in one slot, by rank, summed over all daemons.

    Parameters
    ----------
    number
        Number of the slot in the day.
    requests
        Requests that ended.
    answered
        Those with the verdict ``completed``.
    refused
        Those with the verdict ``not_run``.
    tokens
        Tokens of the answered requests, as estimated at their start.
    """

    number: int
    requests: collections.Counter[str] = field(factory=collections.Counter)
    answered: collections.Counter[str] = field(factory=collections.Counter)
    refused: collections.Counter[str] = field(factory=collections.Counter)
    tokens: collections.Counter[str] = field(factory=collections.Counter)

    @property
    def busiest_rank(self) -> str:
        """The rank with most requests."""
        return self.requests.most_common(1)[0][0]

    def is_flood(self, refused_share: float) -> bool:
        """Whether more than ``refused_share`` of all requests were refused."""
        return _exceeds(
            self.refused.total(), self.requests.total(), refused_share
        )

    def is_below_floor(self, rank: Rank, refused_share: float) -> bool:
        """Whether a rank got less than its floor while it had refusals.

        Its refusals count only if they are more than ``refused_share`` of its
        requests, so that single ones do not.
        """
        name = rank.name
        of_all = self.share(name) or 0
        refused = _exceeds(
            self.refused[name], self.requests[name], refused_share
        )
        return refused and of_all < rank.floor_share

    def share(self, rank: str) -> float | None:
        """Return the share of a rank in the tokens of answered requests."""
        return ratio(self.tokens[rank], self.tokens.total())

    def add(self, entry: TimeSlotCount) -> None:
        """Add the requests of one rank and verdict."""
        self.requests[entry.key.rank] += entry.count
        match entry.key.verdict:
            case 'completed':
                self.answered[entry.key.rank] += entry.count
            case 'not_run':
                self.refused[entry.key.rank] += entry.count


@define
class Flood:
    """Consecutive slots that each are a flood by ``TimeSlot.is_flood``."""

    slots: list[TimeSlot]

    @property
    def first(self) -> int:
        """Number of the first slot."""
        return self.slots[0].number

    @property
    def last(self) -> int:
        """Number of the last slot."""
        return self.slots[-1].number

    def merged(self) -> TimeSlot:
        """Return one slot with the sums of all slots of the flood."""
        merged = TimeSlot(self.first)
        for slot in self.slots:
            merged.requests.update(slot.requests)
            merged.answered.update(slot.answered)
            merged.refused.update(slot.refused)
            merged.tokens.update(slot.tokens)
        return merged


def count_slots(report_input: ReportInput) -> list[TimeSlot]:
    """Add up the requests of all daemons in each slot, in order of time."""
    slots: dict[int, TimeSlot] = {}
    for entry in report_input.day.timeline:
        number = entry.key.slot
        slots.setdefault(number, TimeSlot(number)).add(entry)
    for tokens in report_input.day.answered_tokens:
        slot = slots.setdefault(tokens.slot, TimeSlot(tokens.slot))
        slot.tokens[tokens.label] += tokens.amount
    return [slots[number] for number in sorted(slots)]


def find_floods(slots: Iterable[TimeSlot], refused_share: float) -> list[Flood]:
    """Return the floods, each of consecutive slots, in order of time."""
    floods: list[Flood] = []
    for slot in _flood_slots(slots, refused_share):
        if floods and floods[-1].last + 1 == slot.number:
            floods[-1].slots.append(slot)
        else:
            floods.append(Flood([slot]))
    return floods


def _flood_slots(
    slots: Iterable[TimeSlot], refused_share: float
) -> Iterator[TimeSlot]:
    return (slot for slot in slots if slot.is_flood(refused_share))


def _exceeds(part: int, whole: int, bound: float) -> bool:
    share = ratio(part, whole)
    return share is not None and share > bound
