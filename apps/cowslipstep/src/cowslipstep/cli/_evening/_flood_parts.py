"""What each rank kept in a flood, as table and chart."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._drawings import Chart, ShareBar
from cowslipstep.cli._evening._numbers import (
    count_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening._parts import Row, Table
from cowslipstep.cli._evening._slots import Flood, Slot
from cowslipstep.cli._evening._times import slot_text
from cowslipstep.metrics import SLOT_S
from cowslipstep.model import Rank

_HEAD = (
    'flood',
    'rank',
    'asked',
    'answered',
    'of its own',
    'of all answers',
    'floor',
)


def flood_title(flood: Flood) -> str:
    """Return begin, end and rank of a flood."""
    begin = slot_text(flood.first, SLOT_S)
    end = slot_text(flood.last + 1, SLOT_S)
    rank = flood.whole().flooding
    return f'{begin} to {end} {rank}'


def flood_table(facts: Facts, floods: list[Flood]) -> Table:
    """Return a row for each rank in each flood."""
    rows = [row for flood in floods for row in _rows(facts, flood)]
    return Table('What each rank kept', _HEAD, tuple(rows))


def flood_chart(facts: Facts, flood: Flood) -> Chart:
    """Return the shares that the ranks had of the answers in a flood."""
    share = facts.flood_refused_share
    whole = flood.whole()
    answers = whole.answered.total()
    bars = [
        ShareBar(
            rank.name,
            ratio(whole.answered[rank.name], answers) or 0,
            rank.floor_share,
            reached=not whole.is_below_floor(rank, share),
        )
        for rank in facts.configuration.ranks
    ]
    return Chart(
        f'What each rank kept, {flood_title(flood)}; lines are floors',
        'share of the answers in the flood',
        tuple(bars),
    )


def _rows(facts: Facts, flood: Flood) -> Iterator[Row]:
    whole = flood.whole()
    for rank in facts.configuration.ranks:
        yield (flood_title(flood), *_row(whole, rank))


def _row(whole: Slot, rank: Rank) -> Row:
    asked = whole.asked[rank.name]
    answered = whole.answered[rank.name]
    shares = (
        ratio(answered, asked),
        ratio(answered, whole.answered.total()),
        rank.floor_share,
    )
    counts = map(count_text, (asked, answered))
    return (rank.name, *counts, *map(share_text, shares))
