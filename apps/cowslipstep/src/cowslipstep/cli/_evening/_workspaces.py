"""Workspaces of the day, the largest first."""

from __future__ import annotations

from cowslipstep.cli._evening._drawings import Chart, ShareBar
from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import count_text, share_text
from cowslipstep.cli._evening._parts import Section, Table
from cowslipstep.cli._evening._small_workspaces import small_measures
from cowslipstep.cli._evening._workspace_service import (
    Service,
    in_time_share,
    list_services,
)

_HEAD = (
    'workspace',
    'size',
    'asked',
    'answered',
    'in time',
    'queue wait, 95%',
)


def workspace_section(facts: Facts) -> Section:
    """Return how small workspaces fared beside large ones."""
    services = list_services(facts)
    return Section(
        'Small workspaces beside large ones',
        small_measures(facts, services),
        (Table('Workspaces', _HEAD, tuple(map(_row, services))),),
        tuple(_charts(facts, services)),
    )


def _charts(facts: Facts, services: list[Service]) -> list[Chart]:
    """Return a chart, unless all bars would reach the target."""
    target = facts.configuration.targets.within_target_share
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
    return [Chart(title, 'share of the answers', tuple(bars))]


def _share_bar(service: Service, share: float, target: float) -> ShareBar:
    mark = ' *' if service.large else ''
    label = f'{service.workspace}{mark}'
    return ShareBar(label, share, target, reached=share >= target)


def _row(service: Service) -> tuple[str, ...]:
    size = 'large' if service.large else 'small'
    counts = map(count_text, (service.asked, service.completed))
    in_time = share_text(in_time_share(service))
    return (service.workspace, size, *counts, in_time, service.queue_wait)
