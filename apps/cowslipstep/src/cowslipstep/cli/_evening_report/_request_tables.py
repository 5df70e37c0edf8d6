"""Tables of the refused and uncertain requests that daemons recorded."""

from __future__ import annotations

import collections

from cowslipstep.cli._evening_report._report_input import (
    MAY_HAVE_RUN,
    ReportInput,
)
from cowslipstep.cli._evening_report._sections import Row, Table
from cowslipstep.cli._evening_report._times import clock_text
from cowslipstep.metrics import RequestRecord

_MAX_REQUEST_ROWS = 20
_REASON_HEADER = ('verdict and reason', 'requests')
_REQUEST_HEADER = ('time', 'request', 'workspace', 'rank', 'verdict', 'reason')


def reason_table(report_input: ReportInput) -> Table:
    """Return counts of the recorded requests by verdict and reason."""
    counted = collections.Counter(map(_reason, report_input.day.requests))
    rows = [(text, str(counted[text])) for text in sorted(counted)]
    title = 'Recorded refused or uncertain requests, by reason'
    return Table(title, _REASON_HEADER, tuple(rows))


def request_table(report_input: ReportInput) -> Table:
    """Return the last requests whose outcome is uncertain."""
    uncertain = [
        entry
        for entry in report_input.day.requests
        if entry.verdict == MAY_HAVE_RUN
    ]
    rows = map(_row, uncertain[-_MAX_REQUEST_ROWS:])
    title = f'The last {_MAX_REQUEST_ROWS} uncertain requests'
    return Table(title, _REQUEST_HEADER, tuple(rows))


def _reason(entry: RequestRecord) -> str:
    return f'{entry.verdict}: {entry.reason}'


def _row(entry: RequestRecord) -> Row:
    return (
        clock_text(entry.at_unix_s),
        entry.request_id,
        *(entry.workspace, entry.rank),
        *(entry.verdict, entry.reason),
    )
