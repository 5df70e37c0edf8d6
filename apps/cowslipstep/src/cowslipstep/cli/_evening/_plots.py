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
_SWATCH = 18
_RISE = 5
_LEAST_LABELLED = 0.2
_NOON = 0.5


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
        begin = frame.across(index / len(curves))
        yield from _legend(begin, curve.label, colour)
        yield from _draw_curve(curve, frame, colour)


def _draw_curve(curve: Curve, frame: Frame, colour: str) -> Iterator[Markup]:
    points = list(_points(curve, frame))
    yield line_of(points, stroke=colour, stroke_width='2')
    yield from _peak_label(curve, frame, colour)


def _legend(begin: float, label: str, colour: str) -> Iterator[Markup]:
    middle = _LEGEND_DOWN - _RISE
    ends = [Point(begin, middle), Point(begin + _SWATCH, middle)]
    yield line_of(ends, stroke=colour, stroke_width='4')
    yield text_at(Point(begin + _SWATCH + _RISE, _LEGEND_DOWN), label)


def _peak_label(curve: Curve, frame: Frame, colour: str) -> Iterator[Markup]:
    """Yield the name of a curve beside its highest point, if it is high."""
    peak = max(curve.figures, default=0)
    if peak < frame.top * _LEAST_LABELLED:
        return
    passed = curve.figures.index(peak) / len(curve.figures)
    place = Point(
        frame.across(passed),
        max(TOP, frame.down(peak) - _RISE),
    )
    anchor = 'end' if passed > _NOON else 'start'
    yield text_at(place, curve.label, fill=colour, text_anchor=anchor)


def _points(curve: Curve, frame: Frame) -> Iterator[Point]:
    slots = len(curve.figures)
    for index, figure in enumerate(curve.figures):
        yield Point(frame.across(index / slots), frame.down(figure))
