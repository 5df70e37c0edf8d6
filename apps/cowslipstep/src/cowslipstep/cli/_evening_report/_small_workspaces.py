"""Measures that compare small workspaces with large ones, by rank.

They show whether the requests of large workspaces crowd out those of small
ones.
"""

from __future__ import annotations

from cowslipstep.cli._evening_report._formatting import ratio, share_text
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Measure, MeasurePriority
from cowslipstep.cli._evening_report._targets import at_least
from cowslipstep.cli._evening_report._workspace_service import (
    RankService,
    WorkspaceService,
    sum_rank,
)
from cowslipstep.model import Rank


def small_workspace_measures(
    report_input: ReportInput,
    services: list[WorkspaceService],
) -> tuple[Measure, ...]:
    """Return measures of the service of small workspaces in each rank."""
    ranks = report_input.configuration.ranks
    return (
        *[_answered_measure(report_input, services, rank) for rank in ranks],
        *[_in_time_measure(report_input, services, rank) for rank in ranks],
    )


def _answered_measure(
    report_input: ReportInput,
    services: list[WorkspaceService],
    rank: Rank,
) -> Measure:
    gap = report_input.configuration.targets.small_answered_gap
    small, large = _by_size(services, rank)
    share = ratio(small.completed, small.requests)
    large_share = ratio(large.completed, large.requests)
    return Measure(
        f'small workspaces: {rank.name} requests answered',
        f'{share_text(share)} (large ones: {share_text(large_share)})',
        f'at most {share_text(gap)} less than large ones',
        None if large_share is None else at_least(share, large_share - gap),
        _priority(report_input, rank),
    )


def _in_time_measure(
    report_input: ReportInput,
    services: list[WorkspaceService],
    rank: Rank,
) -> Measure:
    target = report_input.configuration.targets.within_target_share
    small, large = _by_size(services, rank)
    share = ratio(small.in_time, small.responses)
    large_share = ratio(large.in_time, large.responses)
    return Measure(
        f'small workspaces: {rank.name} answers begun in time',
        f'{share_text(share)} (large ones: {share_text(large_share)})',
        f'at least {share_text(target)}',
        at_least(share, target),
        _priority(report_input, rank),
    )


def _by_size(
    services: list[WorkspaceService],
    rank: Rank,
) -> tuple[RankService, RankService]:
    small = [service for service in services if not service.large]
    large = [service for service in services if service.large]
    return sum_rank(small, rank.name), sum_rank(large, rank.name)


def _priority(report_input: ReportInput, rank: Rank) -> MeasurePriority:
    first = report_input.configuration.ranks[0]
    return (
        MeasurePriority.small_workspaces
        if rank == first
        else MeasurePriority.other_ranks
    )
