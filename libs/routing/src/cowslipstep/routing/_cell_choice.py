"""Choice of the cells to which an entry daemon sends slot requests."""

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
    """Cells that are sent a slot request for one request at the same time.

    A request that queues at several cells uses the first slot that it is
    granted and is withdrawn from the other cells.

    Parameters
    ----------
    cells
        The cells.
    immediate
        Whether to refuse the request at once, without queuing, if no slot is
        free.
    """

    cells: tuple[Cell, ...]
    immediate: bool


@frozen
class _ObservedWait:
    """A wait and the clock reading at which it ended."""

    wait_s: float
    at_s: float


class CellChoice:
    """Orders cells by the waits that this entry daemon measured lately.

    Explanation
    -----------
    A slot request is first sent to one cell after the other without queuing,
    so that free slots of other failure domains are found; only then does the
    request queue. If all cells refused a request of the same rank and
    workspace lately it queues directly, to save messages.

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
        """Yield the cells to send slot requests to, until one grants a slot."""
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
        """Record how long a request waited for a slot of a cell, seconds."""
        self._waits[cell, rank] = _ObservedWait(wait_s, self._clock())

    def record_refusal(self, request: Request) -> None:
        """Record that all cells refused a request."""
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

    Waits are compared in coarse steps, so that the own failure domain is
    preferred if they differ by little.

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
