"""A cell's share of the tokens a second of a workspace."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, frozen

from cowslipstep.model import Cell, CellUsage
from cowslipstep.routing._cell_slots import CellSlots

# Capacity of a bucket, as the time in which its share fills it.
_MAX_BURST_S = 1
_USAGE_DECAY_S = 2
# Time constant with which the share follows the usage of all cells.
_SHARE_ADJUSTMENT_S = 4
# Longest time that one adjustment accounts for, however long ago the last was.
_MAX_ADJUSTMENT_STEP_S = 0.25
# After this time without a call of ``fill`` the share starts anew.
_SHARE_RESET_IDLE_S = 5


@define
class UsageRate:
    """Rate of tokens a second, with exponential decay.

    Examples
    --------
    >>> rate = UsageRate()
    >>> for now_s in range(100):
    ...     rate.add(30, now_s / 10)
    >>> 270 < rate.per_s(10) < 330
    True
    """

    _per_s: float = 0
    _updated_at_s: float = 0

    def add(self, tokens: float, now_s: float) -> None:
        """Add tokens; a negative number takes them back."""
        self._per_s = self._decayed(now_s) + tokens / _USAGE_DECAY_S
        self._updated_at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate at a clock reading, tokens a second."""
        return max(0, self._decayed(now_s))

    def _decayed(self, now_s: float) -> float:
        age_s = now_s - self._updated_at_s
        return self._per_s * math.exp(-age_s / _USAGE_DECAY_S)


@frozen
class SharedLimit:
    """A rate limit, tokens a second, and the cells that share it."""

    per_s: float
    cells: CellSlots

    @property
    def min_share_per_s(self) -> float:
        """Share of this cell if all cells of all models use theirs."""
        return self.per_s * self.cells.share

    @property
    def model_share_per_s(self) -> float:
        """Share of this cell if only the cells of its model use theirs."""
        return self.per_s * self.cells.share_of_model(self.cells.cell)

    def unused_per_s(
        self, own_per_s: float, usages: Iterable[CellUsage]
    ) -> float:
        """Return the unused part of the limit; negative if it is exceeded.

        A cell of this model without a report counts with its share by slots.
        """
        reported = {usage.cell: usage.tokens_per_s for usage in usages}
        reported[self.cells.cell] = own_per_s
        unreported_share = sum(
            self.cells.share_of_model(cell)
            for cell in self.cells.siblings
            if cell not in reported
        )
        return self.per_s * (1 - unreported_share) - sum(reported.values())

    def share_of_active(self, usages: Iterable[CellUsage]) -> float:
        """Return this cell's share of the slots of all cells with usage."""
        slots: Mapping[Cell, int] = self.cells.slots
        own = slots[self.cells.cell]
        others = sum(
            slots.get(usage.cell, 0)
            for usage in usages
            if usage.tokens_per_s > 0
        )
        return own / max(1, own + others)


@define
class TokenShare:
    """Token bucket of one workspace at one cell, filled at the cell's share.

    Explanation
    -----------
    The share is adjusted to the usage of all cells together: it grows while
    the sum is below the limit and the bucket of this cell is empty, and
    shrinks while the sum is above the limit. It stays between the share that
    the cell has if all cells use theirs, and the whole limit. So tokens that
    one cell does not use go to the others, and the sum returns to the limit
    when the cell uses them again.

    Parameters
    ----------
    limit
        The limit that is shared.
    per_s
        Present share of the limit, tokens a second.
    level
        Tokens in the bucket; negative if more was charged than it held.
    filled_at_s
        Clock reading of the last call of ``fill``.
    rate
        Measured usage of this cell.
    """

    limit: SharedLimit
    per_s: float
    level: float
    filled_at_s: float
    rate: UsageRate

    def fill(
        self,
        limit: SharedLimit,
        now_s: float,
        usages: Iterable[CellUsage],
    ) -> None:
        """Add the tokens since the last call, and adjust the share."""
        gap_s = now_s - self.filled_at_s
        if limit != self.limit or gap_s > _SHARE_RESET_IDLE_S:
            self.limit = limit
            self.per_s = limit.model_share_per_s
        self.level = min(
            self.level + self.per_s * gap_s,
            self.per_s * _MAX_BURST_S,
        )
        self.filled_at_s = now_s
        self._adjust(min(gap_s, _MAX_ADJUSTMENT_STEP_S), tuple(usages))

    def charge(self, tokens: float) -> None:
        """Take tokens out; a negative number puts them back."""
        self.level -= tokens
        self.rate.add(tokens, self.filled_at_s)

    def _adjust(self, gap_s: float, usages: tuple[CellUsage, ...]) -> None:
        own_per_s = self.rate.per_s(self.filled_at_s)
        unused_per_s = self.limit.unused_per_s(own_per_s, usages)
        if unused_per_s > 0 and self.level > 0:
            return
        share = self.limit.share_of_active(usages)
        step_per_s = share * unused_per_s * gap_s / _SHARE_ADJUSTMENT_S
        adjusted_per_s = min(self.per_s + step_per_s, self.limit.per_s)
        self.per_s = max(adjusted_per_s, self.limit.min_share_per_s)


def new_share(limit: SharedLimit, now_s: float) -> TokenShare:
    """Return a new share with a full bucket."""
    per_s = limit.model_share_per_s
    return TokenShare(limit, per_s, per_s * _MAX_BURST_S, now_s, UsageRate())
