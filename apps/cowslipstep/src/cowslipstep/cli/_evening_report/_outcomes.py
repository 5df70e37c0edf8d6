"""Section on orders and on requests refused or with uncertain outcome."""

from __future__ import annotations

from cowslipstep.cli._evening_report._formatting import (
    count_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening_report._report_input import (
    MAY_HAVE_RUN,
    VERDICTS,
    ReportInput,
)
from cowslipstep.cli._evening_report._request_tables import (
    reason_table,
    request_table,
)
from cowslipstep.cli._evening_report._sections import (
    Measure,
    MeasurePriority,
    Section,
    Table,
)
from cowslipstep.cli._evening_report._targets import at_most

_KINDS = (
    ('requests', 'completions'),
    ('service_calls', 'calls to plain services'),
    ('orders', 'orders'),
)
_COUNT_HEADER = ('', 'answered', 'refused', 'uncertain')


def outcome_section(report_input: ReportInput) -> Section:
    """Return measures and tables of how requests and orders ended."""
    return Section(
        'Orders, refused and uncertain requests',
        (
            _double_executions(report_input),
            *[
                _uncertain_measure(report_input, name, title)
                for name, title in _KINDS
            ],
        ),
        (
            _count_table(report_input),
            reason_table(report_input),
            request_table(report_input),
        ),
    )


def _double_executions(report_input: ReportInput) -> Measure:
    total = report_input.day.total
    entered = count_text(total('order_entries', entry='entered'))
    replayed = total('order_entries', entry='replayed')
    in_use = total('order_entries', entry='in_use')
    return Measure(
        'orders run twice',
        f'none known; {entered} keys were claimed once each, '
        f'{count_text(replayed + in_use)} repeats of a known key did not run',
        'none; the order ledger prevents it',
        None,
        MeasurePriority.orders,
    )


def _uncertain_measure(
    report_input: ReportInput, name: str, title: str
) -> Measure:
    limit = report_input.configuration.targets.uncertain_share
    hung_up = report_input.day.total('hangups', of=name, verdict=MAY_HAVE_RUN)
    uncertain = report_input.day.total(name, verdict=MAY_HAVE_RUN) - hung_up
    share = ratio(uncertain, report_input.day.total(name))
    besides = f'{count_text(uncertain)}, besides {count_text(hung_up)} hung up'
    return Measure(
        f'{title} with uncertain outcome',
        share_text(share, f'({besides})'),
        f'at most {share_text(limit)}',
        at_most(share, limit),
        MeasurePriority.orders,
    )


def _count_table(report_input: ReportInput) -> Table:
    rows = [
        (title, *[_total(report_input, name, verdict) for verdict in VERDICTS])
        for name, title in _KINDS
    ]
    return Table('Outcomes', _COUNT_HEADER, tuple(rows))


def _total(report_input: ReportInput, name: str, verdict: str) -> str:
    return count_text(report_input.day.total(name, verdict=verdict))
