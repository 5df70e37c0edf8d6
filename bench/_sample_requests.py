"""Random numbers of requests of a sample day by time slot."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from _sample_plan import DayPlan, Flood
from attrs import frozen

from cowslipstep.model import Configuration, Rank, Workspace

SLOTS_PER_DAY = 288
_MIDDAY_REQUESTS_PER_SLOT = 130
_LARGE_WORKSPACE_FACTOR = 10
_SMALL_WORKSPACE_SHARE = 0.035
_NIGHT_SHARE = 0.04
_DAYTIME_WIDTH_SLOTS = 48


@frozen
class RequestCounts:
    """Number of requests of one workspace and rank in one time slot."""

    slot: int
    workspace: Workspace
    rank: Rank
    requests: int
    refused: int


@frozen
class SeededDay:
    """Draws the numbers of requests of a day."""

    configuration: Configuration
    plan: DayPlan
    rng: random.Random

    def request_counts(self) -> Iterator[RequestCounts]:
        """Yield the numbers of requests in the order of time slots."""
        for slot in range(SLOTS_PER_DAY):
            for rank in self.configuration.ranks:
                yield from self._slot_counts(slot, rank)

    def _slot_counts(self, slot: int, rank: Rank) -> Iterator[RequestCounts]:
        for workspace in self.configuration.workspaces:
            yield self._workspace_counts(slot, workspace, rank)

    def _workspace_counts(
        self, slot: int, workspace: Workspace, rank: Rank
    ) -> RequestCounts:
        flood = self.plan.flood_at(slot)
        usual_requests = self._usual_requests(slot) * _workspace_share(
            workspace
        )
        requests = self._random_count(
            usual_requests * _overload_factor(flood, rank)
        )
        refused = self._random_count(requests * _refused_share(flood, rank))
        return RequestCounts(
            slot, workspace, rank, requests, min(requests, refused)
        )

    def _random_count(self, mean: float) -> int:
        drawn = self.rng.gauss(mean, math.sqrt(mean))
        return max(0, round(drawn))

    def _usual_requests(self, slot: int) -> float:
        distance = (slot - self.plan.midday_slot) / _DAYTIME_WIDTH_SLOTS
        daytime_share = math.exp(-distance * distance)
        return _MIDDAY_REQUESTS_PER_SLOT * (_NIGHT_SHARE + daytime_share)


def _workspace_share(workspace: Workspace) -> float:
    """Return the share of all requests that a workspace sends."""
    if workspace.tokens_per_s:
        return _SMALL_WORKSPACE_SHARE * _LARGE_WORKSPACE_FACTOR
    return _SMALL_WORKSPACE_SHARE


def _overload_factor(flood: Flood | None, rank: Rank) -> float:
    if flood is None or flood.rank != rank.name:
        return 1
    return flood.factor


def _refused_share(flood: Flood | None, rank: Rank) -> float:
    match flood:
        case None:
            return 0
        case Flood(rank=flood_rank) if flood_rank == rank.name:
            return flood.refused_share
        case _:
            return flood.others_refused_share
