"""Section on ranks: answered share and time to first token, by rank."""

from __future__ import annotations

from cowslipstep.cli._evening_report._charts import BarChart, ShareBar
from cowslipstep.cli._evening_report._formatting import (
    count_text,
    duration_text,
    quantile_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening_report._report_input import (
    COMPLETED,
    VERDICTS,
    ReportInput,
)
from cowslipstep.cli._evening_report._sections import (
    Measure,
    MeasurePriority,
    Section,
    Table,
)
from cowslipstep.cli._evening_report._targets import at_least
from cowslipstep.model import Rank

_FIRST_TOKEN = 'first_token'
_HEADER = (
    'rank',
    'target',
    'median',
    '95%',
    'answered',
    'refused',
    'uncertain',
)
_MEDIAN_QUANTILE = 0.5
_P95_QUANTILE = 0.95


def rank_section(report_input: ReportInput) -> Section:
    """Return measures, table and chart of ranks, the most urgent first."""
    ranks = report_input.configuration.ranks
    return Section(
        'Service by rank',
        (
            _answered_measure(report_input, ranks[0]),
            *[_in_time_measure(report_input, rank) for rank in ranks],
        ),
        (
            Table(
                'First token',
                _HEADER,
                tuple(_row(report_input, one) for one in ranks),
            ),
        ),
        (_chart(report_input),),
    )


def share_in_time(
    report_input: ReportInput, rank: Rank, workspace: str = ''
) -> float | None:
    """Return the share of responses whose first token came in time."""
    durations = report_input.durations(_FIRST_TOKEN, rank.name, workspace)
    within = durations.count_within(rank.target_first_token_s)
    return ratio(within, durations.count)


def _in_time_measure(report_input: ReportInput, rank: Rank) -> Measure:
    target = report_input.configuration.targets.within_target_share
    share = share_in_time(report_input, rank)
    target_text = duration_text(rank.target_first_token_s)
    return Measure(
        f'{rank.name} answers begun within {target_text}',
        share_text(share),
        f'at least {share_text(target)}',
        at_least(share, target),
        MeasurePriority.urgent
        if rank == report_input.configuration.ranks[0]
        else MeasurePriority.other_ranks,
    )


def _answered_measure(report_input: ReportInput, rank: Rank) -> Measure:
    target = report_input.configuration.targets.urgent_answered_share
    requests = report_input.count_requests(rank=rank.name)
    share = ratio(
        report_input.count_with_verdict(COMPLETED, rank=rank.name), requests
    )
    return Measure(
        f'{rank.name} requests answered',
        share_text(share),
        f'at least {share_text(target)}',
        at_least(share, target),
        MeasurePriority.urgent,
    )


def _row(report_input: ReportInput, rank: Rank) -> tuple[str, ...]:
    durations = report_input.durations(_FIRST_TOKEN, rank.name)
    times = (
        duration_text(rank.target_first_token_s),
        quantile_text(durations, _MEDIAN_QUANTILE),
        quantile_text(durations, _P95_QUANTILE),
    )
    counts = [
        report_input.count_with_verdict(verdict, rank=rank.name)
        for verdict in VERDICTS
    ]
    return (rank.name, *times, *map(count_text, counts))


def _chart(report_input: ReportInput) -> BarChart:
    target = report_input.configuration.targets.within_target_share
    measured = [
        (rank.name, share_in_time(report_input, rank))
        for rank in report_input.configuration.ranks
    ]
    return BarChart(
        'Answers begun in time, by rank; the line is the target',
        'share of the answers',
        tuple(
            ShareBar(name, share, target, reached=share >= target)
            for name, share in measured
            if share is not None
        ),
    )
