"""Section on workspaces, the largest first."""

from __future__ import annotations

from cowslipstep.cli._evening_report._charts import BarChart, ShareBar
from cowslipstep.cli._evening_report._formatting import count_text, share_text
from cowslipstep.cli._evening_report._report_input import ReportInput
from cowslipstep.cli._evening_report._sections import Section, Table
from cowslipstep.cli._evening_report._small_workspaces import (
    small_workspace_measures,
)
from cowslipstep.cli._evening_report._workspace_service import (
    WorkspaceService,
    in_time_share,
    list_workspace_services,
)

_HEADER = (
    'workspace',
    'size',
    'asked',
    'answered',
    'in time',
    'queue wait, 95%',
)


def workspace_section(report_input: ReportInput) -> Section:
    """Return the service of small workspaces compared with large ones."""
    services = list_workspace_services(report_input)
    return Section(
        'Small workspaces beside large ones',
        small_workspace_measures(report_input, services),
        (Table('Workspaces', _HEADER, tuple(map(_row, services))),),
        tuple(_charts(report_input, services)),
    )


def _charts(
    report_input: ReportInput, services: list[WorkspaceService]
) -> list[BarChart]:
    """Return a chart by workspace, or none if all reached the target."""
    target = report_input.configuration.targets.within_target_share
    bars = [
        _share_bar(service, share, target)
        for service in services
        if (share := in_time_share(service)) is not None
    ]
    if all(share_bar.reached for share_bar in bars):
        return []
    title = (
        'Answers begun in time, by workspace, largest first; * is large, '
        'the line is the target'
    )
    return [BarChart(title, 'share of the answers', tuple(bars))]


def _share_bar(
    service: WorkspaceService, share: float, target: float
) -> ShareBar:
    mark = ' *' if service.large else ''
    label = f'{service.workspace}{mark}'
    return ShareBar(label, share, target, reached=share >= target)


def _row(service: WorkspaceService) -> tuple[str, ...]:
    size = 'large' if service.large else 'small'
    counts = map(count_text, (service.requests, service.completed))
    in_time = share_text(in_time_share(service))
    return (service.workspace, size, *counts, in_time, service.queue_wait)
