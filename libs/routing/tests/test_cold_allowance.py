"""Requests of several daemons to cold runners stay within the bound."""

from __future__ import annotations

import pytest
from attrs import evolve

from cowslipstep.replay._cold_replay import (
    ColdCase,
    busiest_second,
    replay_cold_runner,
)
from cowslipstep.replay._cold_search import LIMIT as SMALL
from cowslipstep.replay._cold_search import worst_second
from cowslipstep.routing._cold_allowance import (
    ColdLimit,
    KnownFleet,
    cold_share,
)

LIMIT = ColdLimit(26, 44)


def shares(views: dict[str, frozenset[str]], size: int = 0) -> int:
    fleets = [
        KnownFleet(own, view - {own}, size) for own, view in views.items()
    ]
    return sum(
        cold_share(LIMIT.in_touch, fleet.place('r'), fleet.size)
        for fleet in fleets
    )


@pytest.mark.parametrize('count', [1, 9, 26, 27, 71, 340])
def test_equal_views_deal_out_the_whole_rate(count: int) -> None:
    names = frozenset(f'd{number}' for number in range(count))
    assert shares(dict.fromkeys(names, names)) == LIMIT.in_touch


# Daemons that don't know each other all take the first places.
@pytest.mark.parametrize('seed', range(5))
def test_unknown_daemons_stay_in_the_margin(seed: int) -> None:
    known = frozenset(f'{seed}-{number}' for number in range(71))
    joined = frozenset(f'{seed}-{number}' for number in range(71, 89))
    everybody = known | joined
    views = {**dict.fromkeys(known, known), **dict.fromkeys(joined, everybody)}
    assert LIMIT.in_touch < shares(views) <= LIMIT.bound
    assert shares(views, len(everybody)) <= LIMIT.in_touch


@pytest.mark.parametrize(
    ('limit', 'dealt'),
    [
        (ColdLimit(26, 44), (26, 18)),
        (ColdLimit(26, 26), (26, 0)),
        (ColdLimit(0.5, 5.75), (1, 1)),
        (ColdLimit(0.5, 0.75), (0, 0)),
    ],
)
def test_dealt_requests_respect_the_bound(
    limit: ColdLimit, dealt: tuple[int, int]
) -> None:
    assert (limit.in_touch, limit.cut_off) == dealt


@pytest.mark.parametrize('daemons', [9, 71])
@pytest.mark.parametrize('joining', [0, 18])
@pytest.mark.parametrize('seed', range(3))
def test_replayed_daemons_keep_the_bound(
    daemons: int, joining: int, seed: int
) -> None:
    case = ColdCase(LIMIT, daemons, joining, faults_per_s=5, seed=seed)
    assert 0 < busiest_second(replay_cold_runner(case)) <= LIMIT.bound


# Shows that the replay finds a rule that exceeds the bound.
def test_replay_finds_equal_shares_of_one_request() -> None:
    everybody_one = evolve(LIMIT, per_s=71, bound=71)
    case = ColdCase(everybody_one, 71)
    assert busiest_second(replay_cold_runner(case)) > LIMIT.bound


# Third daemon joins; reports lost, late or repeated; daemons cut off,
# restarted, or paused between the decision and the request.
def test_no_history_exceeds_the_bound() -> None:
    assert worst_second(hold_ticks=2) <= SMALL.bound


# Shows that the search finds the fault of a daemon that forgets what it sent.
def test_search_finds_restarts_without_a_hold() -> None:
    assert worst_second(hold_ticks=0) > SMALL.bound
