"""Choice of the cells that an entry daemon asks for a slot."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

from attrs import frozen

from cowslipstep.model import Cell, Request
from cowslipstep.routing._dispatcher_types import Clock

_WAIT_RESOLUTION_S = 0.05
_QUEUED_CELLS_PER_BATCH = 2
_WAIT_DECAY_S = 1
_REFUSAL_MEMORY_S = 1
_NO_WAITS: Mapping[Cell, float] = MappingProxyType({})


@frozen
class CellBatch:
    """Cells to ask at once, and whether to queue if they have no room now.

    A request that queues at several cells takes the first slot that it is
    granted and is withdrawn from the other cells.
    """

    cells: tuple[Cell, ...]
    immediate: bool


@frozen
class _ObservedWait:
    """A wait and when it was seen."""

    wait_s: float
    at_s: float


class CellChoice:
    """Orders cells by the waits that this entry daemon saw there lately.

    Explanation
    -----------
    A request first asks each cell for a slot at once, so that free slots of
    other failure domains are found, and queues only then. Where its rank and
    workspace were refused lately it queues at once, to save messages.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    failure_domain
        Failure domain of this daemon.
    """

    def __init__(self, clock: Clock, failure_domain: str) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._waits: dict[tuple[Cell, str], _ObservedWait] = {}
        self._refused_s: dict[tuple[str, str], float] = {}

    def batches(
        self,
        cells: Iterable[Cell],
        request: Request,
    ) -> Iterator[CellBatch]:
        """Yield the cells to ask, until one grants a slot."""
        waits = {cell: self._wait_s(cell, request.rank) for cell in cells}
        ordered = order_cells(
            waits,
            request.model,
            self._failure_domain,
            waits,
        )
        if len(ordered) > 1 and not self._refused_lately(request):
            for cell in ordered:
                yield CellBatch((cell,), immediate=True)
        for start in range(0, len(ordered), _QUEUED_CELLS_PER_BATCH):
            batch = ordered[start : start + _QUEUED_CELLS_PER_BATCH]
            yield CellBatch(batch, immediate=False)

    def record_wait(self, cell: Cell, rank: str, wait_s: float) -> None:
        """Remember how long a request waited at a cell."""
        self._waits[cell, rank] = _ObservedWait(wait_s, self._clock())

    def record_refusal(self, request: Request) -> None:
        """Remember that all cells refused a request."""
        key = (request.workspace, request.rank)
        self._refused_s[key] = self._clock()

    def _refused_lately(self, request: Request) -> bool:
        key = (request.workspace, request.rank)
        refused_s = self._refused_s.get(key, -math.inf)
        return self._clock() - refused_s < _REFUSAL_MEMORY_S

    def _wait_s(self, cell: Cell, rank: str) -> float:
        observed = self._waits.get((cell, rank))
        if observed is None:
            return 0
        age_s = self._clock() - observed.at_s
        return observed.wait_s * math.exp(-age_s / _WAIT_DECAY_S)


def order_cells(
    cells: Iterable[Cell],
    model: str,
    failure_domain: str,
    waits: Mapping[Cell, float] = _NO_WAITS,
) -> tuple[Cell, ...]:
    """Order the cells of a model by wait, then the own failure domain first.

    Waits that differ by little count as the same.

    Examples
    --------
    >>> cells = [Cell('m', 'a'), Cell('m', 'b')]
    >>> order_cells(cells, 'm', 'b')[0].failure_domain
    'b'
    >>> order_cells(cells, 'm', 'b', {cells[1]: 2})[0].failure_domain
    'a'
    """
    of_model = sorted(cell for cell in cells if cell.model == model)
    return tuple(
        sorted(
            of_model,
            key=lambda cell: (
                int(waits.get(cell, 0) / _WAIT_RESOLUTION_S),
                cell.failure_domain != failure_domain,
            ),
        ),
    )
