"""The page as one HTML file without references to others."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cowslipstep.cli._evening._charts import draw_chart
from cowslipstep.cli._evening._markup import Markup, element
from cowslipstep.cli._evening._page import Page
from cowslipstep.cli._evening._parts import Measure, Row, Section, Table
from cowslipstep.cli._evening._plots import draw_plot
from cowslipstep.cli._evening._style import STYLE
from cowslipstep.cli._evening._text import mark

_MEASURE_HEAD = ('measure', 'figure', 'target', '')


def render_html(page: Page) -> str:
    """Return the page as HTML, plots included."""
    title = f'Evening page of {page.day}'
    head = element(
        'head',
        Markup('<meta charset="utf-8">'),
        Markup('<meta name="viewport" content="width=device-width">'),
        element('title', title),
        element('style', Markup(STYLE)),
    )
    answer = 'answer well' if page.well else 'answer unwell'
    body = element(
        'body',
        element('h1', title),
        element('p', page.first_line, class_=answer),
        *[part for section in page.sections for part in _section(section)],
    )
    document = element('html', head, body, lang='en')
    return f'<!doctype html>\n{document}\n'


def _section(section: Section) -> Iterator[Markup]:
    yield element('h2', section.title)
    if section.measures:
        yield _table(_MEASURE_HEAD, map(_measure, section.measures))
    for chart in section.charts:
        yield _heading(chart.title)
        yield draw_chart(chart)
    for plot in section.plots:
        yield _heading(plot.title)
        yield draw_plot(plot)
    for shown in section.tables:
        yield from _titled(shown)


def _titled(shown: Table) -> Iterator[Markup]:
    if not shown.rows:
        yield _heading(f'{shown.title}: none')
        return
    yield _heading(shown.title)
    yield _table(shown.head, map(_row, shown.rows))


def _heading(text: str) -> Markup:
    return element('h3', text)


def _table(head: Row, rows: Iterable[Markup]) -> Markup:
    cells = [element('th', cell) for cell in head]
    whole = element('table', element('tr', *cells), *rows)
    return element('div', whole, class_='scroll')


def _row(row: Row) -> Markup:
    return element('tr', *[element('td', cell) for cell in row])


def _measure(measure: Measure) -> Markup:
    word = mark(measure)
    style = 'missed' if measure.reached is False else 'plain'
    plain = (measure.name, measure.figure, measure.target)
    cells = [element('td', cell) for cell in plain]
    return element('tr', *cells, element('td', word, class_=style))
