"""Small workspaces beside large ones, rank by rank."""

from __future__ import annotations

from cowslipstep.cli._evening._facts import Facts
from cowslipstep.cli._evening._numbers import ratio, share_text
from cowslipstep.cli._evening._parts import Measure, Place
from cowslipstep.cli._evening._targets import at_least
from cowslipstep.cli._evening._workspace_service import (
    RankService,
    Service,
    add_rank,
)
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
    small, large = _by_size(services, rank)
    share = ratio(small.completed, small.asked)
    beside = ratio(large.completed, large.asked)
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
    small, large = _by_size(services, rank)
    share = ratio(small.in_time, small.answers)
    beside = ratio(large.in_time, large.answers)
    return Measure(
        f'small workspaces: {rank.name} answers begun in time',
        f'{share_text(share)} (large ones: {share_text(beside)})',
        f'at least {share_text(target)}',
        at_least(share, target),
        _place(facts, rank),
    )


def _by_size(
    services: list[Service],
    rank: Rank,
) -> tuple[RankService, RankService]:
    small = [service for service in services if not service.large]
    large = [service for service in services if service.large]
    return add_rank(small, rank.name), add_rank(large, rank.name)


def _place(facts: Facts, rank: Rank) -> Place:
    first = facts.configuration.ranks[0]
    return Place.small if rank == first else Place.ranks
