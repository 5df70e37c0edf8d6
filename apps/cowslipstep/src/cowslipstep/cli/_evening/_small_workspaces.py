"""Small workspaces beside large ones, rank by rank."""

from __future__ import annotations

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import ratio, share_text
from cowslipstep.cli._evening._parts import Measure, Place
from cowslipstep.cli._evening._targets import at_least
from cowslipstep.cli._evening._workspace_service import Service, add_rank
from cowslipstep.model import Rank


def small_measures(
    facts: Facts,
    services: list[Service],
) -> tuple[Measure, ...]:
    """Return how small workspaces fared in each rank."""
    ranks = facts.configuration.ranks
    return (
        *[_answered(facts, services, rank) for rank in ranks],
        *[_in_time(facts, services, rank) for rank in ranks],
    )


def _answered(
    facts: Facts,
    services: list[Service],
    rank: Rank,
) -> Measure:
    gap = facts.configuration.targets.small_answered_gap
    share = _answered_share(services, rank, large=False)
    beside = _answered_share(services, rank, large=True)
    return Measure(
        f'small workspaces: {rank.name} requests answered',
        f'{share_text(share)} (large ones: {share_text(beside)})',
        f'at most {share_text(gap)} less than large ones',
        None if beside is None else at_least(share, beside - gap),
        _place(facts, rank),
    )


def _in_time(
    facts: Facts,
    services: list[Service],
    rank: Rank,
) -> Measure:
    target = facts.configuration.targets.within_target_share
    share = _in_time_share(services, rank, large=False)
    beside = share_text(_in_time_share(services, rank, large=True))
    return Measure(
        f'small workspaces: {rank.name} answers begun in time',
        f'{share_text(share)} (large ones: {beside})',
        f'at least {share_text(target)}',
        at_least(share, target),
        _place(facts, rank),
    )


def _answered_share(
    services: list[Service],
    rank: Rank,
    *,
    large: bool,
) -> float | None:
    chosen = [service for service in services if service.large == large]
    added = add_rank(chosen, rank.name)
    return ratio(added.completed, added.asked)


def _in_time_share(
    services: list[Service],
    rank: Rank,
    *,
    large: bool,
) -> float | None:
    chosen = [service for service in services if service.large == large]
    added = add_rank(chosen, rank.name)
    return ratio(added.in_time, added.answers)


def _place(facts: Facts, rank: Rank) -> Place:
    first = facts.configuration.ranks[0]
    return Place.small if rank == first else Place.ranks
