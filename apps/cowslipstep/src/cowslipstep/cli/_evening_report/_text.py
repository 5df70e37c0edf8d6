"""The report as plain text."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening_report._report import EveningReport
from cowslipstep.cli._evening_report._sections import Measure, Section, Table
from cowslipstep.cli._output import table


def render_text(report: EveningReport) -> Iterator[str]:
    """Yield the lines of the report, first whether the day went well."""
    yield report.first_line
    yield f'Day {report.day} (UTC)'
    yield from report.summary
    for section in report.sections:
        yield from _section(section)


def mark(measure: Measure) -> str:
    """Return the word that says whether a measure reached its target.

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
