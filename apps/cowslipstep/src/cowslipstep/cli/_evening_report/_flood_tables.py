"""Shares of the ranks in floods, as table and chart."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening_report._charts import BarChart, ShareBar
from cowslipstep.cli._evening_report._formatting import (
    count_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Row, Table
from cowslipstep.cli._evening_report._time_slots import Flood, TimeSlot
from cowslipstep.cli._evening_report._times import slot_text
from cowslipstep.metrics import TIMELINE_SLOT_S
from cowslipstep.model import Rank

_HEADER = (
    'flood',
    'rank',
    'asked',
    'answered',
    'share of its requests',
    'share of all tokens',
    'floor',
)


def flood_title(flood: Flood) -> str:
    """Return begin and end of a flood, and the rank with most requests."""
    begin = slot_text(flood.first, TIMELINE_SLOT_S)
    end = slot_text(flood.last + 1, TIMELINE_SLOT_S)
    rank = flood.merged().busiest_rank
    return f'{begin} to {end} {rank}'


def flood_table(report_input: ReportInput, floods: list[Flood]) -> Table:
    """Return a row for each rank in each flood."""
    rows = [row for flood in floods for row in _rows(report_input, flood)]
    return Table('Service of each rank in floods', _HEADER, tuple(rows))


def flood_chart(report_input: ReportInput, flood: Flood) -> BarChart:
    """Return a chart of the ranks' shares of the tokens in a flood."""
    share = report_input.flood_refused_share
    merged = flood.merged()
    bars = [
        ShareBar(
            rank.name,
            merged.share(rank.name) or 0,
            rank.floor_share,
            reached=not merged.is_below_floor(rank, share),
        )
        for rank in report_input.configuration.ranks
    ]
    return BarChart(
        f'Share of each rank, {flood_title(flood)}; lines are floors',
        'share of the tokens answered in the flood',
        tuple(bars),
    )


def _rows(report_input: ReportInput, flood: Flood) -> Iterator[Row]:
    merged = flood.merged()
    for rank in report_input.configuration.ranks:
        yield (flood_title(flood), *_row(merged, rank))


def _row(merged: TimeSlot, rank: Rank) -> Row:
    requests = merged.requests[rank.name]
    answered = merged.answered[rank.name]
    shares = (
        ratio(answered, requests),
        merged.share(rank.name),
        rank.floor_share,
    )
    counts = map(count_text, (requests, answered))
    return (rank.name, *counts, *map(share_text, shares))
