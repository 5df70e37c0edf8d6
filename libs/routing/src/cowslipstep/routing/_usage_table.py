"""Usage of cells by workspaces, as reported by the dispatchers of the cells."""

from __future__ import annotations

import collections
import heapq
from collections.abc import Iterable

from attrs import evolve, frozen

from cowslipstep.model import Cell, CellUsage
from cowslipstep.routing._dispatcher_types import Clock

_USAGE_LIFETIME_S = 10
_MAX_USAGES_PER_MESSAGE = 8


@frozen
class _ReceivedUsage:
    """A usage and the clock reading at which its dispatcher measured it."""

    usage: CellUsage
    at_s: float


class UsageTable:
    """Latest usage of each cell by each workspace, kept for a short time.

    An entry daemon records the usage in the replies of dispatchers and
    passes it on to the dispatchers of other cells with its slot requests; a
    dispatcher records the usage that it receives this way.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> usages = UsageTable(lambda: 0)
    >>> one, two = Cell('m', 'a'), Cell('m', 'b')
    >>> usages.record('grid-a', CellUsage(one, 50, 2))
    >>> usages.of_other_cells('grid-a', two)[0].tokens_per_s
    50
    >>> usages.of_other_cells('grid-a', one)
    ()
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: dict[str, dict[Cell, _ReceivedUsage]] = (
            collections.defaultdict(dict)
        )

    def record(self, workspace: str, usage: CellUsage) -> None:
        """Record a usage unless a newer one of the cell is recorded."""
        at_s = self._clock() - usage.age_s
        last = self._received[workspace].get(usage.cell)
        if last is None or last.at_s <= at_s:
            self._received[workspace][usage.cell] = _ReceivedUsage(usage, at_s)

    def of_other_cells(
        self, workspace: str, own_cell: Cell
    ) -> tuple[CellUsage, ...]:
        """Return the usages of other cells that have not expired."""
        now = self._clock()
        return tuple(
            evolve(received.usage, age_s=now - received.at_s)
            for received in self._received.get(workspace, {}).values()
            if received.usage.cell != own_cell
            and now - received.at_s <= _USAGE_LIFETIME_S
        )


def newest_usages(usages: Iterable[CellUsage]) -> tuple[CellUsage, ...]:
    """Return the newest usages, as many as fit into a slot request."""
    newest = heapq.nsmallest(
        _MAX_USAGES_PER_MESSAGE, usages, key=lambda usage: usage.age_s
    )
    return tuple(newest)
