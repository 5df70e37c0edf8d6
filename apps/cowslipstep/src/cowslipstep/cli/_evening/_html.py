"""The page as one HTML file without references to others."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cowslipstep.cli._evening._banner import draw_banner
from cowslipstep.cli._evening._charts import draw_chart
from cowslipstep.cli._evening._markup import Markup, element
from cowslipstep.cli._evening._page import Page
from cowslipstep.cli._evening._parts import Measure, Row, Section, Table
from cowslipstep.cli._evening._plots import draw_plot
from cowslipstep.cli._evening._style import STYLE
from cowslipstep.cli._evening._svg import NARROW, WIDE
from cowslipstep.cli._evening._text import mark

_MEASURE_HEAD = ('measure', 'figure', 'target', '')


def render_html(page: Page) -> str:
    """Return the page as HTML, plots included."""
    title = f'Evening page of {page.day} (UTC)'
    head = element(
        'head',
        Markup('<meta charset="utf-8">'),
        Markup('<meta name="viewport" content="width=device-width">'),
        element('title', title),
        element('style', Markup(STYLE)),
    )
    body = element(
        'body',
        element('h1', title),
        draw_banner(page),
        element('ul', *[element('li', line) for line in page.summary]),
        element('h2', 'Measures and targets'),
        _table(_MEASURE_HEAD, map(_measure, page.measures), 'measures'),
        *[part for section in page.sections for part in _section(section)],
    )
    document = element('html', head, body, lang='en')
    return f'<!doctype html>\n{document}\n'


def _section(section: Section) -> Iterator[Markup]:
    yield element('h2', section.title)
    for plot in section.plots:
        yield element('h3', plot.title)
        yield draw_plot(plot, WIDE)
        yield draw_plot(plot, NARROW)
    for chart in section.charts:
        yield element('h3', chart.title)
        yield draw_chart(chart, WIDE)
        yield draw_chart(chart, NARROW)
    for shown in section.tables:
        yield _titled(shown)


def _titled(shown: Table) -> Markup:
    if not shown.rows:
        return element('h3', f'{shown.title}: none')
    return element(
        'details',
        element('summary', shown.title),
        _table(shown.head, map(_row, shown.rows), 'plain'),
    )


def _table(head: Row, rows: Iterable[Markup], style: str) -> Markup:
    cells = [element('th', cell) for cell in head]
    whole = element('table', element('tr', *cells), *rows, class_=style)
    return element('div', whole, class_='scroll')


def _row(row: Row) -> Markup:
    return element('tr', *[element('td', cell) for cell in row])


def _measure(measure: Measure) -> Markup:
    word = mark(measure)
    style = 'missed' if measure.reached is False else 'plain'
    plain = (measure.name, measure.figure, measure.target)
    cells = [element('td', cell) for cell in plain]
    return element('tr', *cells, element('td', word, class_=style))
