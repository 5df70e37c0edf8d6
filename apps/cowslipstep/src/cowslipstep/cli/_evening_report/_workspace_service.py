"""Service that each workspace got, by rank.

A workspace is large if it sent more than twice the median of all workspaces.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.cli._evening_report._formatting import quantile_text, ratio
from cowslipstep.cli._evening_report._report_input import COMPLETED, ReportInput
from cowslipstep.model import Rank

_LARGE_SIZE_FACTOR = 2
_P95_QUANTILE = 0.95


@frozen
class RankService:
    """Service of requests of one rank.

    Parameters
    ----------
    rank
        Name of the rank.
    requests
        Requests that ended.
    completed
        Those with the verdict ``completed``.
    responses
        Requests whose time to first token was measured.
    in_time
        Those whose time was within the target of the rank.
    """

    rank: str
    requests: int
    completed: int
    responses: int
    in_time: int


@frozen
class WorkspaceService:
    """Service of one workspace, in all and by rank.

    Parameters
    ----------
    workspace
        Name of the workspace.
    large
        Whether it counts as a large one.
    requests
        Requests that ended.
    completed
        Those with the verdict ``completed``.
    ranks
        Service by rank.
    queue_wait
        95% quantile of the time in queues, as text.
    """

    workspace: str
    large: bool
    requests: int
    completed: int
    ranks: tuple[RankService, ...]
    queue_wait: str


def list_workspace_services(
    report_input: ReportInput,
) -> list[WorkspaceService]:
    """Return the service of each workspace, those with most requests first."""
    names = {
        sample.key.label('workspace')
        for sample in report_input.day.select('requests')
    }
    requests = {
        name: report_input.count_requests(workspace=name) for name in names
    }
    large_above = (
        statistics.median(requests.values() or [0]) * _LARGE_SIZE_FACTOR
    )
    by_size = sorted(names, key=requests.__getitem__, reverse=True)
    return [
        _service(report_input, name, large=requests[name] > large_above)
        for name in by_size
    ]


def sum_rank(services: Iterable[WorkspaceService], rank: str) -> RankService:
    """Add up the service of one rank over some workspaces."""
    found = [one for service in services for one in service.ranks]
    ranked = [one for one in found if one.rank == rank]
    return RankService(
        rank,
        sum(one.requests for one in ranked),
        sum(one.completed for one in ranked),
        sum(one.responses for one in ranked),
        sum(one.in_time for one in ranked),
    )


def in_time_share(service: WorkspaceService) -> float | None:
    """Return the share of responses whose first token came in time."""
    responses = sum(one.responses for one in service.ranks)
    return ratio(sum(one.in_time for one in service.ranks), responses)


def _service(
    report_input: ReportInput, name: str, *, large: bool
) -> WorkspaceService:
    ranks = report_input.configuration.ranks
    return WorkspaceService(
        name,
        large,
        report_input.count_requests(workspace=name),
        report_input.count_with_verdict(COMPLETED, workspace=name),
        tuple(_rank_service(report_input, name, rank) for rank in ranks),
        quantile_text(
            report_input.durations('queue_wait', workspace=name), _P95_QUANTILE
        ),
    )


def _rank_service(
    report_input: ReportInput, name: str, rank: Rank
) -> RankService:
    durations = report_input.durations('first_token', rank.name, name)
    return RankService(
        rank.name,
        report_input.count_requests(workspace=name, rank=rank.name),
        report_input.count_with_verdict(
            COMPLETED, workspace=name, rank=rank.name
        ),
        durations.count,
        durations.count_within(rank.target_first_token_s),
    )
