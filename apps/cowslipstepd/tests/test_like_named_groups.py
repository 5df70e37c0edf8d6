"""Requests stay at their service, whatever the names of groups are."""

from __future__ import annotations

import random

import pytest
from _engine_cases import engine_of
from attrs import evolve

from cowslipstep.fleet import (
    DiscoveredRunner,
    GroupPosition,
    MemberState,
    ModelProfile,
)
from cowslipstep.model import Address
from cowslipstep.serving._runner_table import RunnerEntries, RunnerTable
from cowslipstep.serving._serving_group_cache import ServingGroupCache

MODEL = 'pair'
ENGINE = engine_of(ModelProfile(MODEL, group_size=2))
SERVICES = ('drafting', 'reporting')
LEADER = GroupPosition('g1', 1, 0, MemberState.open)
STEPS = 300


class Daemon:
    """The part of a daemon that derives serving groups from entries."""

    def __init__(self) -> None:
        self.runners: dict[str, DiscoveredRunner] = {}
        self.cache = ServingGroupCache()
        self.table = RunnerTable()
        self.entries = RunnerEntries(
            self.table,
            lambda name, _document: self.runners[name],
            self.cache.invalidate,
        )

    def put(self, runner: DiscoveredRunner) -> None:
        self.runners[runner.name] = runner
        self.entries.put(runner.name, repr(runner))

    def remove(self, name: str) -> None:
        self.runners.pop(name, None)
        self.entries.remove(name)

    def leaders(self, service: str) -> set[str]:
        groups = self.cache.serving(service, ENGINE, self.table.groups.groups)
        return {group.leader.name for group in groups}

    def complete_leaders(self, service: str) -> set[str]:
        """Return the leaders of groups that are complete, derived anew."""
        positions = {
            (runner.service, runner.group_position): name
            for name, runner in self.runners.items()
        }
        return {
            name
            for (of_service, position), name in positions.items()
            if of_service == service
            and position is not None
            and position.rank == 0
            and (service, evolve(position, rank=1)) in positions
        }


def member(service: str, number: int, epoch: int = 1) -> DiscoveredRunner:
    # Two members of each group.
    group = 'g0' if number < 2 else 'g1'
    return DiscoveredRunner(
        f'{service}-{number}',
        service,
        Address('127.0.0.1', 1),
        'north',
        9,
        loaded_models=(MODEL,),
        group_position=evolve(
            LEADER, group=group, epoch=epoch, rank=number % 2
        ),
    )


# The entries of two groups became one: its service was that of the first
# member, its leader the last runner that reported rank 0.
def test_each_service_keeps_its_leader() -> None:
    daemon = Daemon()
    for service in SERVICES:
        for number in range(2):
            daemon.put(member(service, number))
    daemon.put(evolve(member('drafting', 0), slots=8))
    for service in SERVICES:
        assert daemon.leaders(service) == {f'{service}-0'}


# Services are added and removed, and like-named groups end and form again.
@pytest.mark.parametrize('seed', range(10))
def test_services_stay_apart_while_entries_change(seed: int) -> None:
    rng = random.Random(seed)
    daemon = Daemon()
    for _ in range(STEPS):
        service = rng.choice(SERVICES)
        changed = member(service, rng.randrange(4), rng.randrange(1, 3))
        if rng.randrange(3) == 0:
            daemon.remove(changed.name)
        else:
            daemon.put(changed)
        for checked in SERVICES:
            assert daemon.leaders(checked) == daemon.complete_leaders(checked)
