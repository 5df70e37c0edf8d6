"""The page as text."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening._page import Page
from cowslipstep.cli._evening._parts import Measure, Section, Table
from cowslipstep.cli._output import table


def render_text(page: Page) -> Iterator[str]:
    """Yield the lines of the page, the answer first."""
    yield page.first_line
    yield f'Day {page.day} (UTC)'
    yield from page.summary
    for section in page.sections:
        yield from _section(section)


def mark(measure: Measure) -> str:
    """Return a word for whether a target was reached.

    Examples
    --------
    >>> mark(Measure('orders run twice', '0', '0', reached=True))
    'ok'
    """
    match measure.reached:
        case None:
            return 'not measured'
        case True:
            return 'ok'
        case _:
            return 'MISSED'


def _section(section: Section) -> Iterator[str]:
    yield ''
    yield section.title
    yield '-' * len(section.title)
    for measure in section.measures:
        yield (
            f'[{mark(measure)}] {measure.name}: {measure.figure} '
            f'(target {measure.target})'
        )
    for shown in section.tables:
        yield from _table(shown)


def _table(shown: Table) -> Iterator[str]:
    yield ''
    if not shown.rows:
        yield f'{shown.title}: none'
        return
    yield f'{shown.title}:'
    yield from table([shown.head, *shown.rows])
