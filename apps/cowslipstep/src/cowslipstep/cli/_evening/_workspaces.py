"""Small workspaces beside large ones."""

from __future__ import annotations

import statistics

from attrs import frozen

from cowslipstep.cli._evening._facts import COMPLETED, Facts
from cowslipstep.cli._evening._numbers import (
    quantile_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening._parts import Measure, Section, Table
from cowslipstep.cli._evening._targets import at_least

_LARGE_FACTOR = 2
_MOST = 0.95
_HEAD = (
    'workspace',
    'size',
    'asked',
    'answered',
    'in time',
    'queue wait, 95%',
)


@frozen
class _Service:
    """How one workspace fared."""

    workspace: str
    large: bool
    asked: int
    completed: int
    answers: int
    in_time: int
    queue_wait: str


def workspace_section(facts: Facts) -> Section:
    """Return how small workspaces fared beside large ones."""
    names = {
        sample.key.label('workspace') for sample in facts.day.select('requests')
    }
    asked = {name: facts.asked(workspace=name) for name in names}
    bound = statistics.median(asked.values() or [0]) * _LARGE_FACTOR
    by_size = sorted(names, key=asked.__getitem__, reverse=True)
    services = [
        _service(facts, name, large=asked[name] > bound) for name in by_size
    ]
    return Section(
        'Small workspaces beside large ones',
        (_small_in_time(facts, services),),
        (Table('Workspaces', _HEAD, tuple(map(_row, services))),),
    )


def _service(facts: Facts, name: str, *, large: bool) -> _Service:
    answers = 0
    in_time = 0
    for rank in facts.configuration.ranks:
        durations = facts.durations('first_token', rank.name, name)
        answers += durations.count
        in_time += durations.count_within(rank.target_first_token_s)
    return _Service(
        name,
        large,
        facts.asked(workspace=name),
        facts.count(COMPLETED, workspace=name),
        answers,
        in_time,
        quantile_text(facts.durations('queue_wait', workspace=name), _MOST),
    )


def _small_in_time(facts: Facts, services: list[_Service]) -> Measure:
    target = facts.configuration.targets.within_target_share
    small = _share([one for one in services if not one.large])
    large = _share([one for one in services if one.large])
    return Measure(
        'small workspaces: first token in time',
        f'{share_text(small)} (large ones: {share_text(large)})',
        f'at least {share_text(target)}',
        at_least(small, target),
    )


def _share(services: list[_Service]) -> float | None:
    return ratio(
        sum(service.in_time for service in services),
        sum(service.answers for service in services),
    )


def _row(service: _Service) -> tuple[str, ...]:
    size = 'large' if service.large else 'small'
    in_time = share_text(ratio(service.in_time, service.answers))
    counts = (str(service.asked), str(service.completed))
    return (service.workspace, size, *counts, in_time, service.queue_wait)
