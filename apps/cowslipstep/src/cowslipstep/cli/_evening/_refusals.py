"""Refused and uncertain requests that daemons have kept."""

from __future__ import annotations

import collections

from cowslipstep.cli._evening._facts import MAY_HAVE_RUN, Facts
from cowslipstep.cli._evening._parts import Row, Table
from cowslipstep.cli._evening._times import clock_text
from cowslipstep.metrics import RequestRecord

_MAX_ROWS = 20
_REASON_HEAD = ('verdict and reason', 'requests')
_REQUEST_HEAD = ('time', 'request', 'workspace', 'rank', 'verdict', 'reason')


def reason_table(facts: Facts) -> Table:
    """Count the requests by verdict and reason."""
    counted = collections.Counter(map(_reason, facts.day.requests))
    rows = [(text, str(counted[text])) for text in sorted(counted)]
    title = 'Refused or uncertain requests kept, by reason'
    return Table(title, _REASON_HEAD, tuple(rows))


def request_table(facts: Facts) -> Table:
    """List the last of the requests whose outcome is uncertain."""
    uncertain = [
        entry for entry in facts.day.requests if entry.verdict == MAY_HAVE_RUN
    ]
    rows = map(_row, uncertain[-_MAX_ROWS:])
    title = f'The last {_MAX_ROWS} uncertain requests'
    return Table(title, _REQUEST_HEAD, tuple(rows))


def _reason(entry: RequestRecord) -> str:
    return f'{entry.verdict}: {entry.reason}'


def _row(entry: RequestRecord) -> Row:
    return (
        clock_text(entry.at_unix_s),
        entry.request_id,
        *(entry.workspace, entry.rank),
        *(entry.verdict, entry.reason),
    )
