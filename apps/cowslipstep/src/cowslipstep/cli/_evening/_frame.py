"""Where slots and figures lie on a plot."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import frozen

from cowslipstep.cli._evening._markup import Markup
from cowslipstep.cli._evening._numbers import count_text
from cowslipstep.cli._evening._svg import (
    DARK,
    GREY,
    PALE,
    Point,
    line_of,
    text_at,
)

LEFT = 56
TOP = 44
BOTTOM = 194
_MARGIN = 14
_HOUR_DOWN = 210
_UNIT_DOWN = 228
_LABEL_GAP = 6
_LABEL_RISE = 4
_HOURS = (0, 3, 6, 9, 12, 15, 18, 21, 24)
_HOURS_PER_DAY = 24
_PARTS = (0, 0.5, 1)
_NOON = 0.5
_UNIT = 'hour (UTC)'


@frozen
class Frame:
    """Where slots and figures lie on a surface of some width."""

    width: int
    top: float

    @property
    def right(self) -> int:
        """Where the day ends."""
        return self.width - _MARGIN

    def across(self, share: float) -> float:
        """Return where a share of the day has passed."""
        return LEFT + (self.right - LEFT) * share

    def down(self, figure: float) -> float:
        """Return how far down a figure lies."""
        return BOTTOM - (BOTTOM - TOP) * figure / self.top


def draw_axes(frame: Frame) -> Iterator[Markup]:
    """Yield the axes: figures upwards, hours to the right."""
    for part in _PARTS:
        figure = frame.top * part
        yield _level(frame, figure)
        place = Point(LEFT - _LABEL_GAP, frame.down(figure) + _LABEL_RISE)
        yield _label(place, _figure_text(figure), 'end')
    for hour in _HOURS:
        place = Point(frame.across(hour / _HOURS_PER_DAY), _HOUR_DOWN)
        yield _label(place, str(hour), 'middle')
    yield _label(Point(frame.across(_NOON), _UNIT_DOWN), _UNIT, 'middle')


def _level(frame: Frame, figure: float) -> Markup:
    down = frame.down(figure)
    ends = [Point(LEFT, down), Point(frame.right, down)]
    return line_of(ends, stroke=PALE if figure else DARK)


def _figure_text(figure: float) -> str:
    whole = float(figure).is_integer()
    return count_text(figure) if whole else str(figure)


def _label(place: Point, text: str, anchor: str) -> Markup:
    return text_at(place, text, text_anchor=anchor, fill=GREY)
