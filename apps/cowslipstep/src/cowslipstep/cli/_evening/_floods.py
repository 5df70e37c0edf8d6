"""Floods: times in which work was refused, and what other ranks kept."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import ratio, share_text, slot_text
from cowslipstep.cli._evening._parts import (
    Curve,
    Measure,
    Plot,
    Section,
    Table,
)
from cowslipstep.cli._evening._slots import Slot, count_slots
from cowslipstep.metrics import SLOT_S

_SLOTS_PER_DAY = 288
_HEAD = ('slot', 'asked', 'answered', 'share of all answers', 'floor')


def flood_section(facts: Facts) -> Section:
    """Return what other ranks kept in slots with refused work."""
    slots = count_slots(facts)
    floods = [slot for slot in slots if slot.is_flood]
    rows = [row for slot in floods for row in _rows(facts, slot)]
    return Section(
        'Floods',
        (_kept(facts, floods),),
        (Table('Slots of five minutes with refused work', _HEAD, tuple(rows)),),
        plots=(Plot('Requests in five minutes', tuple(_curves(facts, slots))),),
    )


def _kept(facts: Facts, floods: list[Slot]) -> Measure:
    starved = [
        f'{rank} at {slot_text(slot.number, SLOT_S)}'
        for slot in floods
        for rank in _starved_ranks(facts, slot)
    ]
    return Measure(
        'ranks below their floor in a flood',
        ', '.join(starved) or f'none in {len(floods)} slots with refused work',
        'none',
        not starved,
    )


def _starved_ranks(facts: Facts, slot: Slot) -> Iterator[str]:
    """Yield ranks that had work refused while below their floor."""
    for rank in facts.configuration.ranks:
        asked = slot.asked[rank.name]
        answered = slot.answered[rank.name]
        of_all = ratio(answered, slot.answered.total()) or 0
        if answered < asked and of_all < rank.floor_share:
            yield rank.name


def _rows(facts: Facts, slot: Slot) -> Iterator[tuple[str, ...]]:
    for rank in facts.configuration.ranks:
        answered = slot.answered[rank.name]
        of_all = ratio(answered, slot.answered.total())
        yield (
            _title(rank.name, slot),
            str(slot.asked[rank.name]),
            str(answered),
            share_text(of_all),
            share_text(rank.floor_share),
        )


def _title(rank: str, slot: Slot) -> str:
    begin = slot_text(slot.number, SLOT_S)
    mark = ' (flood)' if rank == slot.flooding else ''
    return f'{begin} {rank}{mark}'


def _curves(facts: Facts, slots: list[Slot]) -> Iterator[Curve]:
    by_number = {slot.number: slot.asked for slot in slots}
    for rank in facts.configuration.ranks:
        figures = [
            by_number[number][rank.name] if number in by_number else 0
            for number in range(_SLOTS_PER_DAY)
        ]
        yield Curve(rank.name, tuple(figures))
