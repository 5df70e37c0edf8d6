"""The product's decision as a way of the replay."""

from __future__ import annotations

import random
from functools import lru_cache

from cowslipstep.fleet import DiscoveredRunner, GroupId, ServingGroup
from cowslipstep.model import Address
from cowslipstep.model.loads import UpstreamLoad
from cowslipstep.replay.late_loads._known import Known
from cowslipstep.routing import GroupView
from cowslipstep.routing._placement import ChooseGroup, TimedGroup
from cowslipstep.routing.late_loads import (
    FleetPlace,
    LoadAge,
    PreferOwnGroups,
    own_groups,
)

_SERVICE = 'drafting'
_ADDRESS = Address('127.0.0.1', 1)


def prefer_own_groups(known: Known, rng: random.Random) -> int:
    """Return the group of the product's decision."""
    leaders = tuple(_group(number).leader.name for number in _numbers(known))
    choose = PreferOwnGroups(
        own_groups(leaders, FleetPlace(known.daemon, known.case.daemons)),
        LoadAge(known.age_s, known.case.held_s),
    )
    return decided_by(choose, known, rng)


def decided_by(choose: ChooseGroup, known: Known, rng: random.Random) -> int:
    """Return the group that a decision of the product chooses."""
    entries = [_entry(known, number) for number in _numbers(known)]
    chosen = choose(entries, rng)
    return chosen.view.group.group_id.epoch


def _numbers(known: Known) -> range:
    return range(known.case.groups)


def _entry(known: Known, number: int) -> TimedGroup:
    group = _group(number)
    load = known.loads[number]
    view = GroupView(
        group,
        UpstreamLoad(group.leader.name, load),
        own_requests=load - known.others[number],
    )
    return TimedGroup(0, view)


@lru_cache
def _group(number: int) -> ServingGroup:
    name = f'g{number}'
    leader = DiscoveredRunner(name, _SERVICE, _ADDRESS, 'north', 1)
    return ServingGroup(GroupId(_SERVICE, name, number), name, (leader,))
