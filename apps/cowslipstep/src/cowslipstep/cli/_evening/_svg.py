"""Drawing surface and colours of charts and plots."""

from __future__ import annotations

from types import MappingProxyType

from attrs import field, frozen

from cowslipstep.cli._evening._markup import Markup, element

WIDE = 720
NARROW = 360
GOOD = '#2c7a4b'
BAD = '#b3372f'
DARK = '#222'
GREY = '#666'
PALE = '#e6e6e6'
SHADE = '#fbe3e1'
_FONT_SIZE = 13
CURVES = ('#c2342b', '#1f5fa8', '#d18f00', '#2c7a4b', '#8550a8')
_CLASSES = MappingProxyType({WIDE: 'wide', NARROW: 'narrow'})


def _rounded(figure: float) -> float:
    return round(figure, 1)


@frozen
class Point:
    """A point, counted to the right and downwards."""

    right: float = field(converter=_rounded)
    down: float = field(converter=_rounded)

    def __str__(self) -> str:
        return f'{self.right},{self.down}'


def surface(width: int, height: int, *drawn: Markup) -> Markup:
    """Return an SVG element; the style sheet shows the width that fits."""
    return element(
        'svg',
        *drawn,
        class_=_CLASSES[width],
        width=width,
        height=height,
        viewBox=f'0 0 {width} {height}',
        role='img',
        font_family='sans-serif',
        font_size=_FONT_SIZE,
    )


def text_at(point: Point, text: str, **attributes: str) -> Markup:
    """Return text at a point."""
    return element('text', text, x=point.right, y=point.down, **attributes)


def bar_at(
    point: Point,
    length: float,
    **attributes: str | float,
) -> Markup:
    """Return a bar that begins at a point."""
    attributes['x'] = point.right
    attributes['y'] = point.down
    return element('rect', width=round(length, 1), **attributes)


def line_of(points: list[Point], **attributes: str) -> Markup:
    """Return a line through points."""
    joined = ' '.join(map(str, points))
    return element('polyline', points=joined, fill='none', **attributes)
