"""Floods: times in which work was refused, and what other ranks kept."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._drawings import Band, Curve, Plot
from cowslipstep.cli._evening._flood_parts import (
    flood_chart,
    flood_table,
    flood_title,
)
from cowslipstep.cli._evening._parts import Measure, Section
from cowslipstep.cli._evening._slots import (
    Flood,
    Slot,
    count_slots,
    find_floods,
)
from cowslipstep.cli._evening._times import slot_text
from cowslipstep.metrics import SLOT_S
from cowslipstep.model import Rank

_SLOTS_PER_DAY = 288


def flood_section(facts: Facts) -> Section:
    """Return what other ranks kept in slots with refused work."""
    slots = count_slots(facts)
    floods = find_floods(slots, facts.flood_refused_share)
    plot = Plot(
        'Requests over the day; floods are shaded',
        'requests in five minutes',
        tuple(_curves(facts, slots)),
        tuple(Band(flood.first, flood.last) for flood in floods),
    )
    return Section(
        'Floods',
        (_kept(facts, floods),),
        (flood_table(facts, floods),),
        tuple(flood_chart(facts, flood) for flood in floods),
        (plot,),
    )


def flood_titles(facts: Facts) -> tuple[str, ...]:
    """Return begin, end and rank of each flood."""
    floods = find_floods(count_slots(facts), facts.flood_refused_share)
    return tuple(map(flood_title, floods))


def _kept(facts: Facts, floods: list[Flood]) -> Measure:
    slots = [slot for flood in floods for slot in flood.slots]
    starved = [
        text
        for rank in facts.configuration.ranks
        for text in _below_floor(facts, rank, slots)
    ]
    number = 'one flood' if len(floods) == 1 else f'{len(floods)} floods'
    return Measure(
        'ranks below their floor in a flood',
        ', '.join(starved) or f'none in {number}',
        'none',
        not starved,
    )


def _below_floor(
    facts: Facts,
    rank: Rank,
    slots: list[Slot],
) -> Iterator[str]:
    """Yield when a rank had work refused while below its floor."""
    share = facts.flood_refused_share
    below = [slot for slot in slots if slot.is_below_floor(rank, share)]
    if not below:
        return
    begin = slot_text(below[0].number, SLOT_S)
    further = len(below) - 1
    more = f' and in {further} more slots' if further else ''
    yield f'{rank.name} at {begin}{more}'


def _curves(facts: Facts, slots: list[Slot]) -> Iterator[Curve]:
    by_number = {slot.number: slot.asked for slot in slots}
    for rank in facts.configuration.ranks:
        figures = [
            by_number[number][rank.name] if number in by_number else 0
            for number in range(_SLOTS_PER_DAY)
        ]
        yield Curve(rank.name, tuple(figures))
