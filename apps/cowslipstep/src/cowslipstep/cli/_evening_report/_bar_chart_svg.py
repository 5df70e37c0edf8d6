"""SVG of a bar chart of shares, with a line at the target of each bar."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._evening_report._charts import BarChart, ShareBar
from cowslipstep.cli._evening_report._formatting import share_text
from cowslipstep.cli._evening_report._markup import Markup
from cowslipstep.cli._evening_report._svg import (
    DARK_COLOUR,
    GREY_COLOUR,
    GRID_COLOUR,
    MISSED_COLOUR,
    REACHED_COLOUR,
    Point,
    polyline,
    rectangle,
    svg_root,
    text_label,
)

_LABEL_WIDTH_PX = 160
_FIGURE_WIDTH_PX = 66
_BAR_PITCH_PX = 24
_BAR_THICKNESS_PX = 14
_TEXT_BASELINE_PX = 12
_TARGET_OVERHANG_PX = 3
_FIGURE_GAP_PX = 6
_AXIS_HEIGHT_PX = 40
_TICK_LABEL_DOWN_PX = 14
_AXIS_NAME_DOWN_PX = 32
_TICK_INTERVALS = 4


@frozen
class _ShareScale:
    """Maps shares to horizontal positions in an SVG of some width."""

    width: int
    begin: float

    @property
    def right(self) -> float:
        """Horizontal position of a share of one, pixels."""
        return self.width - _FIGURE_WIDTH_PX

    def horizontal_px(self, share: float) -> float:
        """Return the horizontal position at which the bar of a share ends."""
        axis_share = (share - self.begin) / (1 - self.begin)
        return _LABEL_WIDTH_PX + max(0, axis_share) * (
            self.right - _LABEL_WIDTH_PX
        )

    def ticks(self) -> list[float]:
        """Return evenly spaced shares from the begin of the axis to one."""
        step = (1 - self.begin) / _TICK_INTERVALS
        return [
            self.begin + step * number for number in range(_TICK_INTERVALS + 1)
        ]


def draw_bar_chart(chart: BarChart, width: int) -> Markup:
    """Return a bar chart as SVG of a width in pixels."""
    scale = _ShareScale(width, chart.begin)
    bottom = _BAR_PITCH_PX * len(chart.bars)
    drawn = list(_axis(chart, bottom, scale))
    for index, share_bar in enumerate(chart.bars):
        drawn.extend(_draw_bar(index * _BAR_PITCH_PX, share_bar, scale))
    return svg_root(width, bottom + _AXIS_HEIGHT_PX, *drawn)


def _axis(chart: BarChart, bottom: int, scale: _ShareScale) -> Iterator[Markup]:
    for tick in scale.ticks():
        right = scale.horizontal_px(tick)
        ends = [Point(right, 0), Point(right, bottom)]
        yield polyline(ends, stroke=GRID_COLOUR)
        yield _label(
            Point(right, bottom + _TICK_LABEL_DOWN_PX), share_text(tick)
        )
    middle = (_LABEL_WIDTH_PX + scale.right) / 2
    yield _label(Point(middle, bottom + _AXIS_NAME_DOWN_PX), _axis_name(chart))


def _axis_name(chart: BarChart) -> str:
    if not chart.begin:
        return chart.axis
    return f'{chart.axis}, axis from {share_text(chart.begin)}'


def _label(position: Point, text: str) -> Markup:
    return text_label(position, text, text_anchor='middle', fill=GREY_COLOUR)


def _draw_bar(
    top: int,
    drawn: ShareBar,
    scale: _ShareScale,
) -> Iterator[Markup]:
    base = top + _TEXT_BASELINE_PX
    yield text_label(Point(0, base), drawn.label)
    yield rectangle(
        Point(_LABEL_WIDTH_PX, top),
        scale.horizontal_px(drawn.share) - _LABEL_WIDTH_PX,
        height=_BAR_THICKNESS_PX,
        fill=REACHED_COLOUR if drawn.reached else MISSED_COLOUR,
    )
    yield _target_mark(scale.horizontal_px(drawn.target), top)
    figure = Point(scale.right + _FIGURE_GAP_PX, base)
    yield text_label(figure, share_text(drawn.share))


def _target_mark(right: float, top: int) -> Markup:
    ends = [
        Point(right, top - _TARGET_OVERHANG_PX),
        Point(right, top + _BAR_THICKNESS_PX + _TARGET_OVERHANG_PX),
    ]
    return polyline(ends, stroke=DARK_COLOUR, stroke_width='2')
