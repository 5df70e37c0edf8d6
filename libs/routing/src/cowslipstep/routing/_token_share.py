"""A cell's share of the tokens a second of a workspace."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, frozen

from cowslipstep.model import Cell, CellUsage
from cowslipstep.routing._cell_slots import CellSlots

_BURST_S = 1
_RATE_HORIZON_S = 2
_ADJUST_S = 4
_LONGEST_STEP_S = 0.25
_IDLE_S = 5


@define
class UseRate:
    """Tokens a second, recent ones count more.

    Examples
    --------
    >>> rate = UseRate()
    >>> for now_s in range(100):
    ...     rate.add(30, now_s / 10)
    >>> 270 < rate.per_s(10) < 330
    True
    """

    _per_s: float = 0
    _seen_s: float = 0

    def add(self, tokens: float, now_s: float) -> None:
        """Note tokens; a negative number gives back."""
        self._per_s = self._decayed(now_s) + tokens / _RATE_HORIZON_S
        self._seen_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate now."""
        return max(0, self._decayed(now_s))

    def _decayed(self, now_s: float) -> float:
        age_s = now_s - self._seen_s
        return self._per_s * math.exp(-age_s / _RATE_HORIZON_S)


@frozen
class SplitLimit:
    """A rate limit and the cells that share it."""

    per_s: float
    cells: CellSlots

    @property
    def least_per_s(self) -> float:
        """Share if all cells of all models use theirs."""
        return self.per_s * self.cells.part

    @property
    def usual_per_s(self) -> float:
        """Share if only the cells of this model use theirs."""
        return self.per_s * self.cells.part_of_model(self.cells.cell)

    def spare_per_s(self, own_per_s: float, uses: Iterable[CellUsage]) -> float:
        """Return what no cell uses; negative if all use more together.

        A cell of this model that told nothing counts with its usual share.
        """
        known = {use.cell: use.tokens_per_s for use in uses}
        known[self.cells.cell] = own_per_s
        unknown = sum(
            self.cells.part_of_model(cell)
            for cell in self.cells.siblings
            if cell not in known
        )
        return self.per_s * (1 - unknown) - sum(known.values())

    def part_of_users(self, uses: Iterable[CellUsage]) -> float:
        """Return this cell's part of the slots of the cells in use."""
        slots: Mapping[Cell, int] = self.cells.slots
        own = slots[self.cells.cell]
        others = sum(
            slots.get(use.cell, 0) for use in uses if use.tokens_per_s > 0
        )
        return own / max(1, own + others)


@define
class TokenShare:
    """Bucket of one workspace at one cell, filled with the cell's share.

    Explanation
    -----------
    The share follows what all cells use together: it grows while the sum is
    below the limit and this cell refuses, and shrinks while it is above. It
    stays between the share that the cell has if all cells ask and the whole
    limit. So tokens that one cell cannot use go to the others, and the sum
    comes back to the limit when it can.
    """

    limit: SplitLimit
    per_s: float
    level: float
    filled_at_s: float
    rate: UseRate

    def fill(
        self,
        limit: SplitLimit,
        now_s: float,
        uses: Iterable[CellUsage],
    ) -> None:
        """Add what has come in since the last call, and adjust the share."""
        gap_s = now_s - self.filled_at_s
        if limit != self.limit or gap_s > _IDLE_S:
            self.limit = limit
            self.per_s = limit.usual_per_s
        self.level = min(
            self.level + self.per_s * gap_s,
            self.per_s * _BURST_S,
        )
        self.filled_at_s = now_s
        self._adjust(min(gap_s, _LONGEST_STEP_S), tuple(uses))

    def charge(self, tokens: float) -> None:
        """Take tokens out; a negative number gives back."""
        self.level -= tokens
        self.rate.add(tokens, self.filled_at_s)

    def _adjust(self, gap_s: float, uses: tuple[CellUsage, ...]) -> None:
        own_per_s = self.rate.per_s(self.filled_at_s)
        spare_per_s = self.limit.spare_per_s(own_per_s, uses)
        if spare_per_s > 0 and self.level > 0:
            return
        part = self.limit.part_of_users(uses)
        step_per_s = part * spare_per_s * gap_s / _ADJUST_S
        wanted_per_s = min(self.per_s + step_per_s, self.limit.per_s)
        self.per_s = max(wanted_per_s, self.limit.least_per_s)


def open_share(limit: SplitLimit, now_s: float) -> TokenShare:
    """Return a share as it is at first, with a full bucket."""
    per_s = limit.usual_per_s
    return TokenShare(limit, per_s, per_s * _BURST_S, now_s, UseRate())
