"""``explain request --logs`` assembles a request's history from log lines."""

from __future__ import annotations

import json

from typer.testing import CliRunner

from cowslipstep.cli.__main__ import app
from cowslipstep.cli._explain_logs import explain_from_logs

LOG_EVENTS = (
    ('57.100', 'd2', {'message': 'runner i-7 is gone'}),
    (
        '58.200',
        'd1',
        {
            'message': 'try failed: status 421',
            'request_id': 'r1',
            'upstream': 'i-7',
            'reason': 'upstream_moved',
        },
    ),
    (
        '58.300',
        'd1',
        {
            'message': 'request not served: the request has not run',
            'request_id': 'r1',
            'verdict': 'not_run',
            'reason': 'queue_full',
        },
    ),
    ('58.250', 'd1', {'message': 'try begins', 'request_id': 'r2'}),
    ('31.000', 'd3', {'message': 'runner i-7 is gone'}),
)


def log_lines() -> list[str]:
    return [
        json.dumps(
            {
                'time': f'2026-12-04T10:00:{seconds}+00:00',
                'daemon': daemon,
                **fields,
            },
        )
        for seconds, daemon, fields in LOG_EVENTS
    ]


def test_history_has_the_cause_of_a_failure() -> None:
    explanation = explain_from_logs(reversed(log_lines()), 'r1')
    assert explanation.summary == (
        'request r1 not_run: queue_full; failed attempts: upstream_moved'
    )
    assert [line.split(' ', 1)[1] for line in explanation.details] == [
        'd2: runner i-7 is gone',
        'd1: try failed: status 421 (upstream i-7, reason upstream_moved)',
        'd1: request not served: the request has not run '
        '(verdict not_run, reason queue_full)',
    ]


def test_summary_says_that_a_request_was_served() -> None:
    assert 'served' in explain_from_logs(log_lines(), 'r2').summary


def test_prefixes_and_broken_lines_are_ignored() -> None:
    lines = [f'12.5 edge-1 {line}' for line in log_lines()]
    lines.extend(('{broken', 'no object', '[]', '{"time": 3}'))
    assert len(explain_from_logs(lines, 'r1').details) == 3


def test_unknown_request_is_reported_as_a_problem() -> None:
    assert not explain_from_logs(log_lines(), 'r9').well


def test_command_reads_standard_input() -> None:
    shown = CliRunner().invoke(
        app,
        ['explain', 'request', 'r1', '--logs', '-'],
        input='\n'.join(log_lines()),
    )
    assert shown.exit_code == 0
    assert 'queue_full' in shown.output
