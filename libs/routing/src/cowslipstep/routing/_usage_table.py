"""What workspaces use of cells, as told by their dispatchers."""

from __future__ import annotations

import collections
import heapq
from collections.abc import Iterable

from attrs import evolve, frozen

from cowslipstep.model import Cell, CellUsage
from cowslipstep.routing._views import Clock

_KNOWN_S = 10
_MOST_TOLD = 8


@frozen
class _Told:
    """A use and the clock reading at which it was told."""

    use: CellUsage
    at_s: float


class UsageTable:
    """Remembers what a workspace uses of each cell, for a short time.

    An entry daemon passes it on from one dispatcher to the others with its
    asks; a dispatcher keeps what it was told.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> seen = UsageTable(lambda: 0)
    >>> one, two = Cell('m', 'a'), Cell('m', 'b')
    >>> seen.note('grid-a', CellUsage(one, 50, 2))
    >>> seen.known('grid-a', two)[0].tokens_per_s
    50
    >>> seen.known('grid-a', one)
    ()
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: dict[str, dict[Cell, _Told]] = collections.defaultdict(dict)

    def note(self, workspace: str, use: CellUsage) -> None:
        """Remember a use unless a newer one of the cell is known."""
        at_s = self._clock() - use.age_s
        known = self._told[workspace].get(use.cell)
        if known is None or known.at_s <= at_s:
            self._told[workspace][use.cell] = _Told(use, at_s)

    def known(self, workspace: str, asked: Cell) -> tuple[CellUsage, ...]:
        """Return the uses of other cells that were told lately."""
        now = self._clock()
        return tuple(
            evolve(told.use, age_s=now - told.at_s)
            for told in self._told.get(workspace, {}).values()
            if told.use.cell != asked and now - told.at_s <= _KNOWN_S
        )


def newest_uses(uses: Iterable[CellUsage]) -> tuple[CellUsage, ...]:
    """Return the uses that fit into a message, the newest ones."""
    newest = heapq.nsmallest(_MOST_TOLD, uses, key=lambda use: use.age_s)
    return tuple(newest)
