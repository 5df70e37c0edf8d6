"""SVG of a line plot over the hours of a day."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening_report._axis_limits import axis_limit
from cowslipstep.cli._evening_report._charts import Curve, LinePlot, SlotRange
from cowslipstep.cli._evening_report._markup import Markup
from cowslipstep.cli._evening_report._plot_axes import (
    PLOT_BOTTOM_PX,
    PLOT_TOP_PX,
    PlotScale,
    draw_axes,
)
from cowslipstep.cli._evening_report._svg import (
    CURVE_COLOURS,
    FLOOD_COLOUR,
    GREY_COLOUR,
    Point,
    polyline,
    rectangle,
    svg_root,
    text_label,
)

_AXIS_NAME_DOWN_PX = 12
_LEGEND_DOWN_PX = 32
_HEIGHT_PX = 236
_TIME_SLOTS_PER_DAY = 288
_SWATCH_WIDTH_PX = 18
_TEXT_RISE_PX = 5
_MIN_LABELLED_PEAK_SHARE = 0.2
_HALF_DAY_SHARE = 0.5


def draw_line_plot(plot: LinePlot, width: int) -> Markup:
    """Return a line plot as SVG of a width in pixels."""
    largest = max((max(curve.figures) for curve in plot.curves), default=0)
    scale = PlotScale(width, axis_limit(largest))
    return svg_root(
        width,
        _HEIGHT_PX,
        *[_flood_band(slot_range, scale) for slot_range in plot.bands],
        text_label(Point(0, _AXIS_NAME_DOWN_PX), plot.axis, fill=GREY_COLOUR),
        *draw_axes(scale),
        *_draw_curves(plot.curves, scale),
    )


def _flood_band(slot_range: SlotRange, scale: PlotScale) -> Markup:
    begin = scale.horizontal_px(slot_range.first / _TIME_SLOTS_PER_DAY)
    length = (
        scale.horizontal_px((slot_range.last + 1) / _TIME_SLOTS_PER_DAY) - begin
    )
    return rectangle(
        Point(begin, PLOT_TOP_PX),
        length,
        height=PLOT_BOTTOM_PX - PLOT_TOP_PX,
        fill=FLOOD_COLOUR,
    )


def _draw_curves(
    curves: tuple[Curve, ...], scale: PlotScale
) -> Iterator[Markup]:
    for index, curve in enumerate(curves):
        colour = CURVE_COLOURS[index % len(CURVE_COLOURS)]
        begin = scale.horizontal_px(index / len(curves))
        yield from _legend(begin, curve.label, colour)
        yield from _draw_curve(curve, scale, colour)


def _draw_curve(
    curve: Curve, scale: PlotScale, colour: str
) -> Iterator[Markup]:
    points = list(_points(curve, scale))
    yield polyline(points, stroke=colour, stroke_width='2')
    yield from _peak_label(curve, scale, colour)


def _legend(begin: float, label: str, colour: str) -> Iterator[Markup]:
    middle = _LEGEND_DOWN_PX - _TEXT_RISE_PX
    ends = [Point(begin, middle), Point(begin + _SWATCH_WIDTH_PX, middle)]
    yield polyline(ends, stroke=colour, stroke_width='4')
    yield text_label(
        Point(begin + _SWATCH_WIDTH_PX + _TEXT_RISE_PX, _LEGEND_DOWN_PX), label
    )


def _peak_label(
    curve: Curve, scale: PlotScale, colour: str
) -> Iterator[Markup]:
    """Yield the name of a curve at its peak, unless the peak is too low."""
    peak = max(curve.figures, default=0)
    if peak < scale.max_figure * _MIN_LABELLED_PEAK_SHARE:
        return
    passed = curve.figures.index(peak) / len(curve.figures)
    position = Point(
        scale.horizontal_px(passed),
        max(PLOT_TOP_PX, scale.vertical_px(peak) - _TEXT_RISE_PX),
    )
    anchor = 'end' if passed > _HALF_DAY_SHARE else 'start'
    yield text_label(position, curve.label, fill=colour, text_anchor=anchor)


def _points(curve: Curve, scale: PlotScale) -> Iterator[Point]:
    slots = len(curve.figures)
    for index, figure in enumerate(curve.figures):
        yield Point(
            scale.horizontal_px(index / slots), scale.vertical_px(figure)
        )
