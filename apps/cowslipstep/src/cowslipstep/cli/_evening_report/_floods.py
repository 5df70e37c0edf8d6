"""Section on floods, in which more than a share of requests was refused.

It shows whether each rank got at least its floor, its guaranteed share of the
answered tokens.
"""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening_report._charts import Curve, LinePlot, SlotRange
from cowslipstep.cli._evening_report._flood_tables import (
    flood_chart,
    flood_table,
    flood_title,
)
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Measure, Section
from cowslipstep.cli._evening_report._time_slots import (
    Flood,
    TimeSlot,
    count_slots,
    find_floods,
)
from cowslipstep.cli._evening_report._times import slot_text
from cowslipstep.metrics import TIMELINE_SLOT_S
from cowslipstep.model import Rank

_TIME_SLOTS_PER_DAY = 288


def flood_section(report_input: ReportInput) -> Section:
    """Return the service of each rank in floods, against its floor."""
    slots = count_slots(report_input)
    floods = find_floods(slots, report_input.flood_refused_share)
    plot = LinePlot(
        'Requests over the day; floods are shaded',
        'requests in five minutes',
        tuple(_curves(report_input, slots)),
        tuple(SlotRange(flood.first, flood.last) for flood in floods),
    )
    return Section(
        'Floods',
        (_floor_measure(report_input, floods),),
        (flood_table(report_input, floods),),
        tuple(flood_chart(report_input, flood) for flood in floods),
        (plot,),
    )


def flood_titles(report_input: ReportInput) -> tuple[str, ...]:
    """Return begin and end of each flood, and the rank with most requests."""
    floods = find_floods(
        count_slots(report_input), report_input.flood_refused_share
    )
    return tuple(map(flood_title, floods))


def _floor_measure(report_input: ReportInput, floods: list[Flood]) -> Measure:
    slots = [slot for flood in floods for slot in flood.slots]
    below_floor = [
        text
        for rank in report_input.configuration.ranks
        for text in _below_floor_texts(report_input, rank, slots)
    ]
    number = 'one flood' if len(floods) == 1 else f'{len(floods)} floods'
    return Measure(
        'ranks below their floor in a flood',
        ', '.join(below_floor) or f'none in {number}',
        'none',
        not below_floor,
    )


def _below_floor_texts(
    report_input: ReportInput,
    rank: Rank,
    slots: list[TimeSlot],
) -> Iterator[str]:
    """Yield one text on the slots in which a rank was below its floor.

    Yields nothing if there are none; see ``TimeSlot.is_below_floor``.
    """
    share = report_input.flood_refused_share
    below = [slot for slot in slots if slot.is_below_floor(rank, share)]
    if not below:
        return
    begin = slot_text(below[0].number, TIMELINE_SLOT_S)
    further = len(below) - 1
    more = f' and in {further} more slots' if further else ''
    yield f'{rank.name} at {begin}{more}'


def _curves(
    report_input: ReportInput, slots: list[TimeSlot]
) -> Iterator[Curve]:
    by_number = {slot.number: slot.requests for slot in slots}
    for rank in report_input.configuration.ranks:
        figures = [
            by_number[number][rank.name] if number in by_number else 0
            for number in range(_TIME_SLOTS_PER_DAY)
        ]
        yield Curve(rank.name, tuple(figures))
