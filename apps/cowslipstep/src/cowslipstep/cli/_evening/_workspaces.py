"""Small workspaces beside large ones."""

from __future__ import annotations

from cowslipstep.cli._evening._drawings import Chart, ShareBar
from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import count_text, share_text
from cowslipstep.cli._evening._parts import Measure, Section, Table
from cowslipstep.cli._evening._targets import at_least
from cowslipstep.cli._evening._workspace_service import (
    Service,
    answered_share,
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
    small = [service for service in services if not service.large]
    large = [service for service in services if service.large]
    return Section(
        'Small workspaces beside large ones',
        (_in_time(facts, small, large), _answered(facts, small, large)),
        (Table('Workspaces', _HEAD, tuple(map(_row, services))),),
        (_chart(facts, services),),
    )


def _in_time(
    facts: Facts,
    small: list[Service],
    large: list[Service],
) -> Measure:
    target = facts.configuration.targets.within_target_share
    share = in_time_share(small)
    beside = share_text(in_time_share(large))
    return Measure(
        'small workspaces: first token in time',
        f'{share_text(share)} (large ones: {beside})',
        f'at least {share_text(target)}',
        at_least(share, target),
    )


def _answered(
    facts: Facts,
    small: list[Service],
    large: list[Service],
) -> Measure:
    gap = facts.configuration.targets.small_answered_gap
    share = answered_share(small)
    beside = answered_share(large)
    return Measure(
        'small workspaces: requests answered',
        f'{share_text(share)} (large ones: {share_text(beside)})',
        f'at most {share_text(gap)} less than large ones',
        None if beside is None else at_least(share, beside - gap),
    )


def _chart(facts: Facts, services: list[Service]) -> Chart:
    target = facts.configuration.targets.within_target_share
    bars = [
        _share_bar(service, share, target)
        for service in services
        if (share := in_time_share([service])) is not None
    ]
    return Chart(
        'First tokens in time, by workspace, largest first; * is large, '
        'the line is the target',
        'share of the answers',
        tuple(bars),
    )


def _share_bar(service: Service, share: float, target: float) -> ShareBar:
    mark = ' *' if service.large else ''
    label = f'{service.workspace}{mark}'
    return ShareBar(label, share, target, reached=share >= target)


def _row(service: Service) -> tuple[str, ...]:
    size = 'large' if service.large else 'small'
    counts = map(count_text, (service.asked, service.completed))
    in_time = share_text(in_time_share([service]))
    return (service.workspace, size, *counts, in_time, service.queue_wait)
