"""The answer at the top of the page: yes or no, and why."""

from __future__ import annotations

from cowslipstep.cli._evening._markup import Markup, element
from cowslipstep.cli._evening._page import Page
from cowslipstep.cli._evening._parts import Measure


def draw_banner(page: Page) -> Markup:
    """Return yes or no in large letters, with each missed target."""
    if not page.missed:
        style = 'answer well' if page.well else 'answer unwell'
        return element('div', *_answer(page.first_line), class_=style)
    whole = len(page.measures)
    number = len(page.missed)
    line = f'No: {number} of {whole} targets missed'
    reasons = element('ul', *map(_reason, page.missed))
    return element('div', *_answer(line), reasons, class_='answer unwell')


def _answer(line: str) -> tuple[Markup, Markup]:
    word, _, rest = line.partition(': ')
    return element('strong', word), element('span', f' {rest}')


def _reason(measure: Measure) -> Markup:
    return element(
        'li',
        element('b', _sentence(measure.name)),
        f': {measure.figure}; target {measure.target}',
    )


def _sentence(name: str) -> str:
    """Begin with a capital letter and leave the rest as it is."""
    rest = name[1:]
    return ''.join((name[:1].upper(), rest))
