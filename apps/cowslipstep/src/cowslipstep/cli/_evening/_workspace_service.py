"""How workspaces fared, the small and the large ones."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.cli._evening._facts import COMPLETED, Facts
from cowslipstep.cli._evening._numbers import quantile_text, ratio

_LARGE_FACTOR = 2
_MOST = 0.95


@frozen
class Service:
    """How one workspace fared."""

    workspace: str
    large: bool
    asked: int
    completed: int
    answers: int
    in_time: int
    queue_wait: str


def list_services(facts: Facts) -> list[Service]:
    """Return how each workspace fared, the largest first."""
    names = {
        sample.key.label('workspace') for sample in facts.day.select('requests')
    }
    asked = {name: facts.asked(workspace=name) for name in names}
    bound = statistics.median(asked.values() or [0]) * _LARGE_FACTOR
    by_size = sorted(names, key=asked.__getitem__, reverse=True)
    return [
        _service(facts, name, large=asked[name] > bound) for name in by_size
    ]


def in_time_share(services: Iterable[Service]) -> float | None:
    """Return the share of answers whose first token came in time."""
    counted = tuple(services)
    return ratio(
        sum(service.in_time for service in counted),
        sum(service.answers for service in counted),
    )


def answered_share(services: Iterable[Service]) -> float | None:
    """Return the share of requests that were answered."""
    counted = tuple(services)
    return ratio(
        sum(service.completed for service in counted),
        sum(service.asked for service in counted),
    )


def _service(facts: Facts, name: str, *, large: bool) -> Service:
    answers = 0
    in_time = 0
    for rank in facts.configuration.ranks:
        durations = facts.durations('first_token', rank.name, name)
        answers += durations.count
        in_time += durations.count_within(rank.target_first_token_s)
    return Service(
        name,
        large,
        facts.asked(workspace=name),
        facts.count(COMPLETED, workspace=name),
        answers,
        in_time,
        quantile_text(facts.durations('queue_wait', workspace=name), _MOST),
    )
