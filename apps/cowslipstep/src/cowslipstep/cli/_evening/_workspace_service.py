"""How workspaces fared, the small and the large ones."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from attrs import frozen

from cowslipstep.cli._evening._facts import COMPLETED, Facts
from cowslipstep.cli._evening._numbers import quantile_text, ratio
from cowslipstep.model import Rank

_LARGE_FACTOR = 2
_MOST = 0.95


@frozen
class RankService:
    """How requests of one rank fared."""

    rank: str
    asked: int
    completed: int
    answers: int
    in_time: int


@frozen
class Service:
    """How one workspace fared, by rank."""

    workspace: str
    large: bool
    asked: int
    completed: int
    ranks: tuple[RankService, ...]
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


def add_rank(services: Iterable[Service], rank: str) -> RankService:
    """Add up how requests of one rank fared."""
    found = [one for service in services for one in service.ranks]
    ranked = [one for one in found if one.rank == rank]
    return RankService(
        rank,
        sum(one.asked for one in ranked),
        sum(one.completed for one in ranked),
        sum(one.answers for one in ranked),
        sum(one.in_time for one in ranked),
    )


def in_time_share(service: Service) -> float | None:
    """Return the share of answers whose first token came in time."""
    answers = sum(one.answers for one in service.ranks)
    return ratio(sum(one.in_time for one in service.ranks), answers)


def _service(facts: Facts, name: str, *, large: bool) -> Service:
    ranks = facts.configuration.ranks
    return Service(
        name,
        large,
        facts.asked(workspace=name),
        facts.count(COMPLETED, workspace=name),
        tuple(_rank_service(facts, name, rank) for rank in ranks),
        quantile_text(facts.durations('queue_wait', workspace=name), _MOST),
    )


def _rank_service(facts: Facts, name: str, rank: Rank) -> RankService:
    durations = facts.durations('first_token', rank.name, name)
    return RankService(
        rank.name,
        facts.asked(workspace=name, rank=rank.name),
        facts.count(COMPLETED, workspace=name, rank=rank.name),
        durations.count,
        durations.count_within(rank.target_first_token_s),
    )
