"""Headroom: free slots kept for requests that cannot wait for one."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, frozen

from cowslipstep.model import Rank
from cowslipstep.routing._dispatcher_types import Clock
from cowslipstep.routing._grant_table import SlotCounts

_MEAN_DECAY_S = 10
# Weight of one request in the moving mean of the held times.
_HELD_TIME_WEIGHT = 0.02
_RANK_RESERVE_DEVIATIONS = 0.5
_OTHERS_RESERVE_DEVIATIONS = 1.5
# A workspace is dominant if it uses more than this many equal shares.
_DOMINANT_FACTOR = 3


@frozen
class Reserve:
    """Free slots that are kept for the requests of one rank.

    Parameters
    ----------
    for_rank
        Slots that less urgent ranks must leave free.
    for_others
        Slots that the dominant workspaces of the rank must leave free.
    dominant
        Workspaces that use far more than an equal share of the rank's slots.
    """

    for_rank: int = 0
    for_others: int = 0
    dominant: frozenset[str] = frozenset()


@define
class _SlotMeans:
    """Moving means of the slots in use in one rank.

    ``rank`` counts those of all workspaces, ``others`` those of workspaces
    that are not dominant.
    """

    rank: float = 0
    others: float = 0


class Headroom:
    """Computes how many slots are kept free for each rank.

    Explanation
    -----------
    The number of slots in use varies about its mean with a standard
    deviation of the root of the mean. If requests hold their slots longer
    than the target time of a rank, waiting for a slot to become free would
    miss the target; so that rank gets headroom in proportion to the
    deviation. The workspaces beside a dominant one get headroom as well.
    While a rank has no requests, its mean falls to zero, and so does its
    headroom.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_at_s = clock()
        self._mean_held_s: float = 0
        self._means: dict[str, _SlotMeans] = {}

    def record_held_time(self, held_s: float) -> None:
        """Record for how long a request held its slot, seconds."""
        if not self._mean_held_s:
            self._mean_held_s = held_s
        self._mean_held_s += _HELD_TIME_WEIGHT * (held_s - self._mean_held_s)

    def reserves(
        self,
        ranks: Iterable[Rank],
        slot_counts: SlotCounts,
    ) -> dict[str, Reserve]:
        """Return the reserve of each rank, by its name; call periodically."""
        now = self._clock()
        update_weight = -math.expm1((self._updated_at_s - now) / _MEAN_DECAY_S)
        self._updated_at_s = now
        return {
            rank.name: self._reserve(
                rank, slot_counts.by_workspace(rank), update_weight
            )
            for rank in ranks
        }

    def _reserve(
        self,
        rank: Rank,
        in_use: Mapping[str, int],
        update_weight: float,
    ) -> Reserve:
        means = self._means.setdefault(rank.name, _SlotMeans())
        dominant = _dominant(in_use)
        total = sum(in_use.values())
        others = total - sum(in_use[workspace] for workspace in dominant)
        means.rank += update_weight * (total - means.rank)
        means.others += update_weight * (others - means.others)
        cannot_wait = rank.target_first_token_s < self._mean_held_s
        return Reserve(
            _deviation_slots(means.rank, _RANK_RESERVE_DEVIATIONS)
            if cannot_wait
            else 0,
            _deviation_slots(means.others, _OTHERS_RESERVE_DEVIATIONS)
            if dominant
            else 0,
            dominant,
        )


def _dominant(in_use: Mapping[str, int]) -> frozenset[str]:
    if not in_use:
        return frozenset()
    equal_share = sum(in_use.values()) / len(in_use)
    return frozenset(
        workspace
        for workspace, slots in in_use.items()
        if slots > _DOMINANT_FACTOR * equal_share
    )


def _deviation_slots(mean: float, deviations: float) -> int:
    """Return that many standard deviations about a mean, in whole slots."""
    return round(deviations * math.sqrt(mean))
