"""Construction of HTML and SVG elements with escaped text."""

from __future__ import annotations

from html import escape

from attrs import frozen


@frozen
class Markup:
    """Text that is markup already and is not escaped again."""

    text: str

    def __str__(self) -> str:
        return self.text


def element(
    name: str,
    *children: Markup | str,
    **attributes: str | float,
) -> Markup:
    """Return an element.

    Text is escaped. In names of attributes an underscore becomes a hyphen,
    and one at the end is dropped, so that ``class_`` can be given.

    Examples
    --------
    >>> str(element('p', 'a < b', style='x', font_size=3))
    '<p style="x" font-size="3">a &lt; b</p>'
    """
    inner = ''.join(map(_child, children))
    opened = ' '.join([name, *map(_attribute, attributes.items())])
    return Markup(f'<{opened}>{inner}</{name}>')


def _child(child: Markup | str) -> str:
    match child:
        case Markup(text):
            return text
        case _:
            return escape(child)


def _attribute(pair: tuple[str, str | float]) -> str:
    name = pair[0].rstrip('_').replace('_', '-')
    text = escape(str(pair[1]))
    return f'{name}="{text}"'
