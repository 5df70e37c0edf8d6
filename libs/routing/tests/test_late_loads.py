"""Groups that are chosen by loads which daemons know late."""

from __future__ import annotations

import random

import pytest

from cowslipstep.fleet import DiscoveredRunner, GroupId, ServingGroup
from cowslipstep.model import Address
from cowslipstep.model.loads import UpstreamLoad
from cowslipstep.replay.late_loads import (
    LateLoadCase,
    LateLoadFigures,
    mean_figures,
)
from cowslipstep.routing import GroupView
from cowslipstep.routing._placement import TimedGroup
from cowslipstep.routing.late_loads import (
    LoadAge,
    PreferOwnGroups,
    fleet_place,
    own_groups,
)

FORMER = 'two'
CHOSEN = 'own groups'
# Daemons and groups.
FLEETS = ((71, 48), (62, 41))
OTHER_FLEETS = ((9, 48), (9, 12), (71, 5))
MAX_HIGH_OVER_MEAN = 1.5
# Part of the former waits.
MAX_PART = 0.85
# Random variation between two replays of the same decision.
NOISE = 1.03
RNG = random.Random(1)


def figures(
    way: str, utilisation: float, age_s: float, *, even: bool = False
) -> LateLoadFigures:
    """Return the mean figures of both fleets."""
    cases = [
        LateLoadCase(
            daemons,
            groups,
            utilisation,
            age_s,
            even=even,
            length_s=60,
            seed=seed,
        )
        for daemons, groups in FLEETS
        for seed in range(2)
    ]
    return mean_figures(cases, way)


def entry(name: str, requests: int, own: int = 0) -> TimedGroup:
    """Return a group with these requests, some of them of this daemon."""
    leader = DiscoveredRunner(name, 's', Address('127.0.0.1', 1), 'north', 1)
    group = ServingGroup(GroupId('s', name, 1), 'm', (leader,))
    load = UpstreamLoad(name, requests)
    return TimedGroup(0, GroupView(group, load, own_requests=own))


def chosen_name(
    requests: dict[str, int],
    own: dict[str, int],
    preferred: str,
    report_age_s: float,
) -> str:
    """Return the leader of the chosen group, of those with these requests."""
    choose = PreferOwnGroups(preferred, LoadAge(report_age_s, 1))
    entries = [
        entry(name, requests[name], own.get(name, 0)) for name in requests
    ]
    chosen = choose(entries, RNG)
    return chosen.view.group.leader.name


# Servers were overloaded in turns while others were idle.
def test_the_load_across_groups_is_even() -> None:
    high = figures(CHOSEN, 0.8, 0.3).high_over_mean
    assert high <= MAX_HIGH_OVER_MEAN


# Requests waited at one group while others had free slots.
@pytest.mark.parametrize('age_s', [0.3, 0.5, 1])
def test_fewer_requests_wait_than_before(age_s: float) -> None:
    former = figures(FORMER, 0.8, age_s)
    chosen = figures(CHOSEN, 0.8, age_s)
    assert chosen.waiting_share <= MAX_PART * former.waiting_share
    assert chosen.mean_wait_s <= MAX_PART * former.mean_wait_s
    assert chosen.high_over_mean < former.high_over_mean
    assert chosen.messages_per_s <= former.messages_per_s


# A few daemons know each other's requests soon; few groups are shared by many.
@pytest.mark.parametrize(('daemons', 'groups'), OTHER_FLEETS)
def test_other_fleets_are_no_worse(daemons: int, groups: int) -> None:
    case = LateLoadCase(daemons, groups, 0.8, 0.1, length_s=60)
    former = mean_figures([case], FORMER)
    chosen = mean_figures([case], CHOSEN)
    assert chosen.high_over_mean <= NOISE * former.high_over_mean
    assert chosen.waiting_share <= NOISE * former.waiting_share


# A decision for late loads may be worse where loads are known soon.
@pytest.mark.parametrize('even', [True, False])
@pytest.mark.parametrize('utilisation', [0.2, 0.5])
def test_nothing_is_worse_at_low_load(utilisation: float, even: bool) -> None:
    former = figures(FORMER, utilisation, 0.1, even=even)
    chosen = figures(CHOSEN, utilisation, 0.1, even=even)
    assert chosen.high_over_mean <= NOISE * former.high_over_mean
    assert chosen.waiting_share <= max(0.002, former.waiting_share)
    assert chosen.high_wait_s <= former.high_wait_s


# A preferred group that is slow or overloaded would keep getting requests.
def test_an_overloaded_preferred_group_is_left() -> None:
    requests = {'a': 9, 'b': 1, 'c': 2}
    assert chosen_name(requests, {}, 'a', 0.1) == 'b'


# Small differences that are old say nothing about the load now.
def test_a_preferred_group_near_the_mean_is_taken() -> None:
    requests = {'a': 3, 'b': 2, 'c': 3, 'd': 2}
    assert chosen_name(requests, {}, 'a', 0.5) == 'a'


# An old report on others must count less than a daemon's own requests.
@pytest.mark.parametrize(('report_age_s', 'chosen'), [(0, 'a'), (2, 'b')])
def test_own_requests_count_in_full(report_age_s: float, chosen: str) -> None:
    requests = {'a': 6, 'b': 7, 'c': 7}
    assert chosen_name(requests, {'a': 5}, 'ab', report_age_s) == chosen


# Without reports a daemon decides by its own requests alone.
def test_without_reports_own_requests_decide() -> None:
    requests = {'a': 2, 'b': 0, 'c': 1}
    assert chosen_name(requests, requests, 'ab', 0) == 'b'


# Before the other daemons are known, or where no own group begins in time.
def test_without_own_groups_choice_is_as_before() -> None:
    requests = {'a': 2, 'b': 0}
    assert chosen_name(requests, {}, 'c', 0) == 'b'
    assert chosen_name({'a': 2}, {}, 'c', 0) == 'a'


# Where many daemons shared a group, they met at it, and more requests waited.
def test_few_groups_are_not_preferred() -> None:
    place = fleet_place('a', [f'd{number}' for number in range(70)])
    leaders = [f'g{number}' for number in range(48)]
    assert len(own_groups(leaders, place)) == 2
    assert not own_groups(leaders[:5], place)


# A group that no daemon prefers has less load than the others.
def test_daemons_prefer_all_groups_alike() -> None:
    daemons = [f'd{number}' for number in range(71)]
    leaders = [f'g{number}' for number in range(48)]
    preferring = dict.fromkeys(leaders, 0)
    for daemon in daemons:
        for name in own_groups(leaders, fleet_place(daemon, daemons)):
            preferring[name] += 1
    assert set(preferring.values()) <= {2, 3, 4}
