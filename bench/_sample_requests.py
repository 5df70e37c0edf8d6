"""Seeded requests of a sample day, slot by slot."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from _sample_plan import DayPlan, Flood
from attrs import frozen

from cowslipstep.model import Configuration, Rank, Workspace

SLOTS = 288
_REQUESTS_PER_SLOT = 130
_LARGE_FACTOR = 10
_SMALL_SHARE = 0.035
_NIGHT_SHARE = 0.04
_MORNING_SLOTS = 48


@frozen
class Cell:
    """Requests of one workspace and rank in one slot."""

    slot: int
    workspace: Workspace
    rank: Rank
    asked: int
    refused: int


@frozen
class SeededDay:
    """Draws the requests of a day."""

    configuration: Configuration
    plan: DayPlan
    rng: random.Random

    def cells(self) -> Iterator[Cell]:
        """Yield the requests of the day, slot by slot."""
        for slot in range(SLOTS):
            for rank in self.configuration.ranks:
                yield from self._cells(slot, rank)

    def _cells(self, slot: int, rank: Rank) -> Iterator[Cell]:
        for workspace in self.configuration.workspaces:
            yield self._cell(slot, workspace, rank)

    def _cell(self, slot: int, workspace: Workspace, rank: Rank) -> Cell:
        flood = self.plan.flood_at(slot)
        usual = self._daylight(slot) * _share(workspace)
        asked = self._count(usual * _factor(flood, rank))
        refused = self._count(asked * _refused_share(flood, rank))
        return Cell(slot, workspace, rank, asked, min(asked, refused))

    def _count(self, mean: float) -> int:
        drawn = self.rng.gauss(mean, math.sqrt(mean))
        return max(0, round(drawn))

    def _daylight(self, slot: int) -> float:
        distance = (slot - self.plan.midday_slot) / _MORNING_SLOTS
        bell = math.exp(-distance * distance)
        return _REQUESTS_PER_SLOT * (_NIGHT_SHARE + bell)


def _share(workspace: Workspace) -> float:
    """Return the share of all requests that a workspace sends."""
    if workspace.tokens_per_s:
        return _SMALL_SHARE * _LARGE_FACTOR
    return _SMALL_SHARE


def _factor(flood: Flood | None, rank: Rank) -> float:
    if flood is None or flood.rank != rank.name:
        return 1
    return flood.factor


def _refused_share(flood: Flood | None, rank: Rank) -> float:
    match flood:
        case None:
            return 0
        case Flood(rank=flooding) if flooding == rank.name:
            return flood.refused_share
        case _:
            return flood.others_refused_share
