"""Curves over the hours of a day."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._markup import Markup
from cowslipstep.cli._evening._parts import Curve, Plot
from cowslipstep.cli._evening._svg import (
    CURVES,
    DARK,
    PALE,
    WIDTH,
    Point,
    line_of,
    surface,
    text_at,
)

_LEFT = 50
_RIGHT = WIDTH - 10
_TOP = 30
_BOTTOM = 190
_HEIGHT = 210
_LEGEND_STEP = 140
_LEGEND_Y = 14
_HOUR_Y = 206
_LENGTH = _RIGHT - _LEFT
_ORIGIN = Point(_LEFT, _BOTTOM)
_TOP_LABEL = Point(0, _TOP + _LEGEND_Y)
_ZERO_LABEL = Point(0, _BOTTOM)
_HOURS = (0, 6, 12, 18, 24)
_HOURS_PER_DAY = 24


def draw_plot(plot: Plot) -> Markup:
    """Return the curves of a plot as SVG."""
    largest = max((max(curve.figures) for curve in plot.curves), default=0)
    top = max(1, largest)
    drawn = list(_axes(top))
    for index, curve in enumerate(plot.curves):
        drawn.extend(_draw_curve(index, curve, top))
    return surface(_HEIGHT, *drawn)


def _axes(top: float) -> Iterator[Markup]:
    yield text_at(_TOP_LABEL, str(int(top)))
    yield text_at(_ZERO_LABEL, '0')
    yield line_of([_ORIGIN, Point(_RIGHT, _BOTTOM)], stroke=DARK)
    for hour in _HOURS:
        right = _LEFT + _LENGTH * hour / _HOURS_PER_DAY
        ends = [Point(right, _TOP), Point(right, _BOTTOM)]
        yield line_of(ends, stroke=PALE)
        label = Point(right, _HOUR_Y)
        yield text_at(label, str(hour), text_anchor='middle')


def _draw_curve(index: int, curve: Curve, top: float) -> Iterator[Markup]:
    colour = CURVES[index % len(CURVES)]
    legend = Point(_LEFT + index * _LEGEND_STEP, _LEGEND_Y)
    yield text_at(legend, curve.label, fill=colour)
    yield line_of(list(_points(curve, top)), stroke=colour)


def _points(curve: Curve, top: float) -> Iterator[Point]:
    step = _LENGTH / max(1, len(curve.figures) - 1)
    scale = (_BOTTOM - _TOP) / top
    for index, figure in enumerate(curve.figures):
        right = _LEFT + index * step
        yield Point(right, _BOTTOM - scale * figure)
