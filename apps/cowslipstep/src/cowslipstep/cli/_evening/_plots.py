"""Curves over the hours of a day."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._drawings import Band, Curve, Plot
from cowslipstep.cli._evening._frame import BOTTOM, TOP, Frame, draw_axes
from cowslipstep.cli._evening._markup import Markup
from cowslipstep.cli._evening._steps import nice_top
from cowslipstep.cli._evening._svg import (
    CURVES,
    GREY,
    SHADE,
    Point,
    bar_at,
    line_of,
    surface,
    text_at,
)

_NAME_DOWN = 12
_LEGEND_DOWN = 32
_HEIGHT = 236
_SLOTS_PER_DAY = 288


def draw_plot(plot: Plot, width: int) -> Markup:
    """Return the curves of a plot as SVG of some width."""
    largest = max((max(curve.figures) for curve in plot.curves), default=0)
    frame = Frame(width, nice_top(largest))
    return surface(
        width,
        _HEIGHT,
        *[_shade(band, frame) for band in plot.bands],
        text_at(Point(0, _NAME_DOWN), plot.axis, fill=GREY),
        *draw_axes(frame),
        *_draw_curves(plot.curves, frame),
    )


def _shade(band: Band, frame: Frame) -> Markup:
    begin = frame.across(band.first / _SLOTS_PER_DAY)
    length = frame.across((band.last + 1) / _SLOTS_PER_DAY) - begin
    return bar_at(Point(begin, TOP), length, height=BOTTOM - TOP, fill=SHADE)


def _draw_curves(curves: tuple[Curve, ...], frame: Frame) -> Iterator[Markup]:
    for index, curve in enumerate(curves):
        colour = CURVES[index % len(CURVES)]
        legend = Point(frame.across(index / len(curves)), _LEGEND_DOWN)
        yield text_at(legend, f'\u2014 {curve.label}', fill=colour)
        points = list(_points(curve, frame))
        yield line_of(points, stroke=colour, stroke_width='1.5')


def _points(curve: Curve, frame: Frame) -> Iterator[Point]:
    slots = len(curve.figures)
    for index, figure in enumerate(curve.figures):
        yield Point(frame.across(index / slots), frame.down(figure))
