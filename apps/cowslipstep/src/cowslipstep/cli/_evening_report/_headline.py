"""The box at the top of the HTML report: yes or no, and why."""

from __future__ import annotations

from cowslipstep.cli._evening_report._markup import Markup, element
from cowslipstep.cli._evening_report._report import EveningReport
from cowslipstep.cli._evening_report._sections import Measure


def draw_headline(report: EveningReport) -> Markup:
    """Return yes or no in large letters, and a list of missed targets."""
    if not report.missed:
        style = 'answer well' if report.well else 'answer unwell'
        return element('div', *_answer_line(report.first_line), class_=style)
    total = len(report.measures)
    number = len(report.missed)
    line = f'No: {number} of {total} targets missed'
    reasons = element('ul', *map(_reason, report.missed))
    return element('div', *_answer_line(line), reasons, class_='answer unwell')


def _answer_line(line: str) -> tuple[Markup, Markup]:
    word, _, rest = line.partition(': ')
    return element('strong', word), element('span', f' {rest}')


def _reason(measure: Measure) -> Markup:
    return element(
        'li',
        element('b', _capitalized(measure.name)),
        f': {measure.figure}; target {measure.target}',
    )


def _capitalized(name: str) -> str:
    """Return a name with its first letter in upper case.

    ``str.capitalize`` would put the other letters in lower case.
    """
    rest = name[1:]
    return ''.join((name[:1].upper(), rest))
