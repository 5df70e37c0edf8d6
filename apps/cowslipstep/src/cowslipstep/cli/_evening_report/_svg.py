"""SVG elements, widths and colours that charts and plots share."""

from __future__ import annotations

from types import MappingProxyType

from attrs import field, frozen

from cowslipstep.cli._evening_report._markup import Markup, element

WIDE_PX = 720
NARROW_PX = 360
REACHED_COLOUR = '#2c7a4b'
MISSED_COLOUR = '#b3372f'
DARK_COLOUR = '#222'
GREY_COLOUR = '#666'
GRID_COLOUR = '#e6e6e6'
FLOOD_COLOUR = '#fbe3e1'
_FONT_SIZE_PX = 13
CURVE_COLOURS = ('#c2342b', '#1f5fa8', '#d18f00', '#2c7a4b', '#8550a8')
_CLASS_BY_WIDTH_PX = MappingProxyType({WIDE_PX: 'wide', NARROW_PX: 'narrow'})


def _rounded(figure: float) -> float:
    return round(figure, 1)


@frozen
class Point:
    """A point in pixels from the upper left corner."""

    right: float = field(converter=_rounded)
    down: float = field(converter=_rounded)

    def __str__(self) -> str:
        return f'{self.right},{self.down}'


def svg_root(width: int, height: int, *drawn: Markup) -> Markup:
    """Return an SVG root element of one of two widths.

    Each drawing is made in both; the style sheet shows the one that fits the
    screen.
    """
    return element(
        'svg',
        *drawn,
        class_=_CLASS_BY_WIDTH_PX[width],
        width=width,
        height=height,
        viewBox=f'0 0 {width} {height}',
        role='img',
        font_family='sans-serif',
        font_size=_FONT_SIZE_PX,
    )


def text_label(point: Point, text: str, **attributes: str) -> Markup:
    """Return text whose baseline begins at a point."""
    return element('text', text, x=point.right, y=point.down, **attributes)


def rectangle(
    point: Point,
    length: float,
    **attributes: str | float,
) -> Markup:
    """Return a rectangle of some length whose upper left corner is a point."""
    attributes['x'] = point.right
    attributes['y'] = point.down
    return element('rect', width=round(length, 1), **attributes)


def polyline(points: list[Point], **attributes: str) -> Markup:
    """Return a line through points."""
    joined = ' '.join(map(str, points))
    return element('polyline', points=joined, fill='none', **attributes)
