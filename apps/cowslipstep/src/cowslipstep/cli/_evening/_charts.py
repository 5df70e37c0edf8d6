"""Shares as bars, each with a line at its target."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._evening._markup import Markup
from cowslipstep.cli._evening._numbers import share_text
from cowslipstep.cli._evening._drawings import Chart, ShareBar
from cowslipstep.cli._evening._svg import (
    BAD,
    DARK,
    GOOD,
    GREY,
    PALE,
    Point,
    bar_at,
    line_of,
    surface,
    text_at,
)

_LEFT = 160
_FIGURE_WIDTH = 66
_STEP = 24
_THICKNESS = 14
_BASELINE = 12
_OVERHANG = 3
_GAP = 6
_AXIS_HEIGHT = 40
_TICK_DOWN = 14
_NAME_DOWN = 32
_STEPS = 4


@frozen
class _Scale:
    """Where shares lie on a surface of some width."""

    width: int
    begin: float

    @property
    def right(self) -> float:
        """Where a share of one ends."""
        return self.width - _FIGURE_WIDTH

    def at(self, share: float) -> float:
        """Return where a share ends."""
        passed = (share - self.begin) / (1 - self.begin)
        return _LEFT + max(0, passed) * (self.right - _LEFT)

    def ticks(self) -> list[float]:
        """Return shares in even steps from the begin to all."""
        step = (1 - self.begin) / _STEPS
        return [self.begin + step * number for number in range(_STEPS + 1)]


def draw_chart(chart: Chart, width: int) -> Markup:
    """Return the bars of a chart as SVG of some width."""
    scale = _Scale(width, chart.begin)
    bottom = _STEP * len(chart.bars)
    drawn = list(_axis(chart, bottom, scale))
    for index, share_bar in enumerate(chart.bars):
        drawn.extend(_draw_bar(index * _STEP, share_bar, scale))
    return surface(width, bottom + _AXIS_HEIGHT, *drawn)


def _axis(chart: Chart, bottom: int, scale: _Scale) -> Iterator[Markup]:
    for tick in scale.ticks():
        right = scale.at(tick)
        ends = [Point(right, 0), Point(right, bottom)]
        yield line_of(ends, stroke=PALE)
        yield _label(Point(right, bottom + _TICK_DOWN), share_text(tick))
    middle = (_LEFT + scale.right) / 2
    yield _label(Point(middle, bottom + _NAME_DOWN), _axis_name(chart))


def _axis_name(chart: Chart) -> str:
    if not chart.begin:
        return chart.axis
    return f'{chart.axis}, axis from {share_text(chart.begin)}'


def _label(place: Point, text: str) -> Markup:
    return text_at(place, text, text_anchor='middle', fill=GREY)


def _draw_bar(
    top: int,
    drawn: ShareBar,
    scale: _Scale,
) -> Iterator[Markup]:
    base = top + _BASELINE
    yield text_at(Point(0, base), drawn.label)
    yield bar_at(
        Point(_LEFT, top),
        scale.at(drawn.share) - _LEFT,
        height=_THICKNESS,
        fill=GOOD if drawn.reached else BAD,
    )
    yield _target(scale.at(drawn.target), top)
    figure = Point(scale.right + _GAP, base)
    yield text_at(figure, share_text(drawn.share))


def _target(right: float, top: int) -> Markup:
    ends = [
        Point(right, top - _OVERHANG),
        Point(right, top + _THICKNESS + _OVERHANG),
    ]
    return line_of(ends, stroke=DARK, stroke_width='2')
