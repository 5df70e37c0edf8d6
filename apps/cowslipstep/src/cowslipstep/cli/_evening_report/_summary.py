"""Summary of the day below the first line of the report."""

from __future__ import annotations

from collections.abc import Iterator

from cowslipstep.cli._evening_report._floods import flood_titles
from cowslipstep.cli._evening_report._formatting import count_text
from cowslipstep.cli._evening_report._incidents import list_events
from cowslipstep.cli._evening_report._report_input import VERDICTS, ReportInput
from cowslipstep.cli._evening_report._times import clock_text
from cowslipstep.metrics import Event

_MAX_LISTED_ENTRIES = 3
_VERDICT_WORDS = ('answered', 'refused', 'uncertain')
_LISTED_EVENT_KINDS = ('member_lost', 'daemon_silent')


def summary_lines(report_input: ReportInput) -> Iterator[str]:
    """Yield a line each on requests, floods, lost members, silent daemons."""
    yield _ended(report_input)
    yield _listed('floods', flood_titles(report_input))
    events = list_events(report_input.day)
    for kind in _LISTED_EVENT_KINDS:
        found = [_event_text(event) for event in events if event.kind == kind]
        yield _listed(kind.replace('_', ' '), tuple(found))


def _ended(report_input: ReportInput) -> str:
    requests = count_text(report_input.count_requests())
    counts = [
        count_text(report_input.count_with_verdict(verdict))
        for verdict in VERDICTS
    ]
    pairs = zip(counts, _VERDICT_WORDS, strict=True)
    ended = ', '.join(map(' '.join, pairs))
    return f'{requests} requests: {ended}'


def _listed(what: str, texts: tuple[str, ...]) -> str:
    if not texts:
        return f'{what}: none'
    shown = ', '.join(texts[:_MAX_LISTED_ENTRIES])
    further = len(texts) - _MAX_LISTED_ENTRIES
    more = f' and {further} more' if further > 0 else ''
    return f'{what}: {shown}{more}'


def _event_text(event: Event) -> str:
    return f'{event.subject} at {clock_text(event.at_unix_s)}'
