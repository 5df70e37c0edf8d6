"""Shares as bars, each with a line at its target."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._markup import Markup
from cowslipstep.cli._evening._numbers import share_text
from cowslipstep.cli._evening._parts import Chart, ShareBar
from cowslipstep.cli._evening._svg import (
    BAD,
    DARK,
    GOOD,
    PALE,
    Point,
    bar_at,
    line_of,
    surface,
    text_at,
)

_LEFT = 130
_LENGTH = 480
_RIGHT = _LEFT + _LENGTH + 10
_STEP = 30
_THICKNESS = 18
_BASELINE = 14


def draw_chart(chart: Chart) -> Markup:
    """Return the bars of a chart as SVG."""
    drawn: list[Markup] = []
    for index, share_bar in enumerate(chart.bars):
        drawn.extend(_draw_bar(index * _STEP, share_bar))
    return surface(_STEP * len(chart.bars), *drawn)


def _draw_bar(top: int, drawn: ShareBar) -> Iterator[Markup]:
    colour = GOOD if drawn.share >= drawn.target else BAD
    mark = _LEFT + drawn.target * _LENGTH
    base = top + _BASELINE
    yield text_at(Point(0, base), drawn.label)
    yield bar_at(Point(_LEFT, top), _LENGTH, height=_THICKNESS, fill=PALE)
    length = drawn.share * _LENGTH
    yield bar_at(Point(_LEFT, top), length, height=_THICKNESS, fill=colour)
    ends = [Point(mark, top), Point(mark, top + _THICKNESS)]
    yield line_of(ends, stroke=DARK)
    yield text_at(Point(_RIGHT, base), share_text(drawn.share))
