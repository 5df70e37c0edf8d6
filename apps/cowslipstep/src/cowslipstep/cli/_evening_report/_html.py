"""The report as one HTML file that loads no other files."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from cowslipstep.cli._evening_report._bar_chart_svg import draw_bar_chart
from cowslipstep.cli._evening_report._headline import draw_headline
from cowslipstep.cli._evening_report._line_plot_svg import draw_line_plot
from cowslipstep.cli._evening_report._markup import Markup, element
from cowslipstep.cli._evening_report._report import EveningReport
from cowslipstep.cli._evening_report._sections import (
    Measure,
    Row,
    Section,
    Table,
)
from cowslipstep.cli._evening_report._style import STYLE
from cowslipstep.cli._evening_report._svg import NARROW_PX, WIDE_PX
from cowslipstep.cli._evening_report._text import mark

_MEASURE_HEADER = ('measure', 'figure', 'target', '')


def render_html(report: EveningReport) -> str:
    """Return the report as an HTML document with its plots as inline SVG."""
    title = f'Evening report of {report.day} (UTC)'
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
        draw_headline(report),
        element('ul', *[element('li', line) for line in report.summary]),
        element('h2', 'Measures and targets'),
        _table(_MEASURE_HEADER, map(_measure, report.measures), 'measures'),
        *[part for section in report.sections for part in _section(section)],
    )
    document = element('html', head, body, lang='en')
    return f'<!doctype html>\n{document}\n'


def _section(section: Section) -> Iterator[Markup]:
    yield element('h2', section.title)
    for plot in section.plots:
        yield element('h3', plot.title)
        yield draw_line_plot(plot, WIDE_PX)
        yield draw_line_plot(plot, NARROW_PX)
    for chart in section.charts:
        yield element('h3', chart.title)
        yield draw_bar_chart(chart, WIDE_PX)
        yield draw_bar_chart(chart, NARROW_PX)
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
