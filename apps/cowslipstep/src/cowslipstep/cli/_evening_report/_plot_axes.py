"""Scale and axes of a line plot."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._evening_report._formatting import count_text
from cowslipstep.cli._evening_report._markup import Markup
from cowslipstep.cli._evening_report._svg import (
    DARK_COLOUR,
    GREY_COLOUR,
    GRID_COLOUR,
    Point,
    polyline,
    text_label,
)

PLOT_LEFT_PX = 56
PLOT_TOP_PX = 44
PLOT_BOTTOM_PX = 194
_RIGHT_MARGIN_PX = 14
_HOUR_LABEL_DOWN_PX = 210
_UNIT_LABEL_DOWN_PX = 228
_LABEL_GAP_PX = 6
_LABEL_RISE_PX = 4
_LABELLED_HOURS = (0, 3, 6, 9, 12, 15, 18, 21, 24)
_HOURS_PER_DAY = 24
_GRID_LINE_SHARES = (0, 0.5, 1)
_HALF_DAY_SHARE = 0.5
_AXIS_UNIT = 'hour (UTC)'


@frozen
class PlotScale:
    """Maps times of the day and figures to positions in an SVG.

    Parameters
    ----------
    width
        Width of the SVG, pixels.
    max_figure
        Figure at the upper end of the vertical axis.
    """

    width: int
    max_figure: float

    @property
    def right(self) -> int:
        """Horizontal position of the end of the day, pixels."""
        return self.width - _RIGHT_MARGIN_PX

    def horizontal_px(self, share: float) -> float:
        """Return the position at which a share of the day has passed."""
        return PLOT_LEFT_PX + (self.right - PLOT_LEFT_PX) * share

    def vertical_px(self, figure: float) -> float:
        """Return the position of a figure, counted downwards."""
        return (
            PLOT_BOTTOM_PX
            - (PLOT_BOTTOM_PX - PLOT_TOP_PX) * figure / self.max_figure
        )


def draw_axes(scale: PlotScale) -> Iterator[Markup]:
    """Yield the axes: figures upwards, hours of the day to the right."""
    for share in _GRID_LINE_SHARES:
        figure = scale.max_figure * share
        yield _grid_line(scale, figure)
        position = Point(
            PLOT_LEFT_PX - _LABEL_GAP_PX,
            scale.vertical_px(figure) + _LABEL_RISE_PX,
        )
        yield _label(position, _figure_text(figure), 'end')
    for hour in _LABELLED_HOURS:
        position = Point(
            scale.horizontal_px(hour / _HOURS_PER_DAY), _HOUR_LABEL_DOWN_PX
        )
        yield _label(position, str(hour), 'middle')
    yield _label(
        Point(scale.horizontal_px(_HALF_DAY_SHARE), _UNIT_LABEL_DOWN_PX),
        _AXIS_UNIT,
        'middle',
    )


def _grid_line(scale: PlotScale, figure: float) -> Markup:
    vertical_px = scale.vertical_px(figure)
    ends = [Point(PLOT_LEFT_PX, vertical_px), Point(scale.right, vertical_px)]
    return polyline(ends, stroke=GRID_COLOUR if figure else DARK_COLOUR)


def _figure_text(figure: float) -> str:
    whole = float(figure).is_integer()
    return count_text(figure) if whole else str(figure)


def _label(position: Point, text: str, anchor: str) -> Markup:
    return text_label(position, text, text_anchor=anchor, fill=GREY_COLOUR)
