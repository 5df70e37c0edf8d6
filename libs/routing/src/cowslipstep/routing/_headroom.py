"""Free slots kept for those who cannot wait until slots come free."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, frozen

from cowslipstep.model import Rank
from cowslipstep.routing._dispatcher_types import Clock
from cowslipstep.routing._grant_table import SlotCounts

_MEAN_DECAY_S = 10
_HELD_TIME_WEIGHT = 0.02
_RANK_RESERVE_DEVIATIONS = 0.5
_OTHERS_RESERVE_DEVIATIONS = 1.5
_DOMINANT_FACTOR = 3


@frozen
class Reserve:
    """Free slots kept in one rank.

    Parameters
    ----------
    for_rank
        Slots that less urgent ranks leave free.
    for_others
        Slots that its dominant workspaces leave free.
    dominant
        Workspaces that use far more than an equal share.
    """

    for_rank: int = 0
    for_others: int = 0
    dominant: frozenset[str] = frozenset()


@define
class _Means:
    """Mean numbers of slots in use."""

    rank: float = 0
    others: float = 0


class Headroom:
    """Number of slots that less urgent ranks and dominant workspaces leave.

    Explanation
    -----------
    The number of slots in use varies about its mean by the root of it. A
    rank whose target is shorter than slots are held gets a few times that
    many free slots, and so do the workspaces beside a dominant one. Where
    they do not ask, none are kept.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_at_s = clock()
        self._mean_held_s: float = 0
        self._means: dict[str, _Means] = {}

    def record_held_time(self, held_s: float) -> None:
        """Note for how long a request held its slot."""
        if not self._mean_held_s:
            self._mean_held_s = held_s
        self._mean_held_s += _HELD_TIME_WEIGHT * (held_s - self._mean_held_s)

    def reserves(
        self,
        ranks: Iterable[Rank],
        slot_counts: SlotCounts,
    ) -> dict[str, Reserve]:
        """Return the free slots kept in each rank; call periodically."""
        now = self._clock()
        changed = -math.expm1((self._updated_at_s - now) / _MEAN_DECAY_S)
        self._updated_at_s = now
        return {
            rank.name: self._reserve(
                rank, slot_counts.by_workspace(rank), changed
            )
            for rank in ranks
        }

    def _reserve(
        self,
        rank: Rank,
        in_use: Mapping[str, int],
        changed: float,
    ) -> Reserve:
        means = self._means.setdefault(rank.name, _Means())
        dominant = _dominant(in_use)
        total = sum(in_use.values())
        others = total - sum(in_use[workspace] for workspace in dominant)
        means.rank += changed * (total - means.rank)
        means.others += changed * (others - means.others)
        waits = rank.target_first_token_s < self._mean_held_s
        return Reserve(
            _spread(means.rank, _RANK_RESERVE_DEVIATIONS) if waits else 0,
            _spread(means.others, _OTHERS_RESERVE_DEVIATIONS)
            if dominant
            else 0,
            dominant,
        )


def _dominant(in_use: Mapping[str, int]) -> frozenset[str]:
    if not in_use:
        return frozenset()
    equal = sum(in_use.values()) / len(in_use)
    return frozenset(
        workspace
        for workspace, slots in in_use.items()
        if slots > _DOMINANT_FACTOR * equal
    )


def _spread(mean: float, deviations: float) -> int:
    return round(deviations * math.sqrt(mean))
