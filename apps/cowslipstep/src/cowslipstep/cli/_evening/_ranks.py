"""Service by rank against its target."""

from __future__ import annotations

from cowslipstep.cli._evening._drawings import Chart, ShareBar
from cowslipstep.cli._evening._facts import COMPLETED, VERDICTS, Facts
from cowslipstep.cli._evening._numbers import (
    count_text,
    duration_text,
    quantile_text,
    ratio,
    share_text,
)
from cowslipstep.cli._evening._parts import Measure, Place, Section, Table
from cowslipstep.cli._evening._targets import at_least
from cowslipstep.model import Rank

_FIRST_TOKEN = 'first_token'
_HEAD = ('rank', 'target', 'median', '95%', 'answered', 'refused', 'uncertain')
_MEDIAN = 0.5
_MOST = 0.95


def rank_section(facts: Facts) -> Section:
    """Return the measures of ranks, the most urgent first."""
    ranks = facts.configuration.ranks
    return Section(
        'Service by rank',
        (
            _urgent_answered(facts, ranks[0]),
            *[_in_time(facts, rank) for rank in ranks],
        ),
        (
            Table(
                'First token', _HEAD, tuple(_row(facts, one) for one in ranks)
            ),
        ),
        (_chart(facts),),
    )


def share_in_time(
    facts: Facts, rank: Rank, workspace: str = ''
) -> float | None:
    """Return the share of answers whose first token came in time."""
    durations = facts.durations(_FIRST_TOKEN, rank.name, workspace)
    within = durations.count_within(rank.target_first_token_s)
    return ratio(within, durations.count)


def _in_time(facts: Facts, rank: Rank) -> Measure:
    target = facts.configuration.targets.within_target_share
    share = share_in_time(facts, rank)
    bound = duration_text(rank.target_first_token_s)
    return Measure(
        f'{rank.name} answers begun within {bound}',
        share_text(share),
        f'at least {share_text(target)}',
        at_least(share, target),
        Place.urgent if rank == facts.configuration.ranks[0] else Place.ranks,
    )


def _urgent_answered(facts: Facts, rank: Rank) -> Measure:
    target = facts.configuration.targets.urgent_answered_share
    asked = facts.asked(rank=rank.name)
    share = ratio(facts.count(COMPLETED, rank=rank.name), asked)
    return Measure(
        f'{rank.name} requests answered',
        share_text(share),
        f'at least {share_text(target)}',
        at_least(share, target),
        Place.urgent,
    )


def _row(facts: Facts, rank: Rank) -> tuple[str, ...]:
    durations = facts.durations(_FIRST_TOKEN, rank.name)
    times = (
        duration_text(rank.target_first_token_s),
        quantile_text(durations, _MEDIAN),
        quantile_text(durations, _MOST),
    )
    counts = [facts.count(verdict, rank=rank.name) for verdict in VERDICTS]
    return (rank.name, *times, *map(count_text, counts))


def _chart(facts: Facts) -> Chart:
    target = facts.configuration.targets.within_target_share
    measured = [
        (rank.name, share_in_time(facts, rank))
        for rank in facts.configuration.ranks
    ]
    return Chart(
        'Answers begun in time, by rank; the line is the target',
        'share of the answers',
        tuple(
            ShareBar(name, share, target, reached=share >= target)
            for name, share in measured
            if share is not None
        ),
    )
