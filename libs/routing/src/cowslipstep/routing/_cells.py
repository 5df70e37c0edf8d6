"""Choice of the cells that an entry daemon asks for a slot."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType

from attrs import frozen

from cowslipstep.model import Cell, Request
from cowslipstep.routing._views import Clock

_STEP_S = 0.05
_QUEUES = 2
_FADING_S = 1
_REFUSED_S = 1
_NO_WAITS: Mapping[Cell, float] = MappingProxyType({})


@frozen
class CellTry:
    """Cells to ask at once, and whether to queue if they have no room now.

    A request that queues at several cells takes the first slot that it is
    granted and is withdrawn from the other cells.
    """

    cells: tuple[Cell, ...]
    immediate: bool


@frozen
class _Seen:
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
        self._seen: dict[tuple[Cell, str], _Seen] = {}
        self._refused_s: dict[tuple[str, str], float] = {}

    def tries(
        self,
        cells: Iterable[Cell],
        request: Request,
    ) -> Iterator[CellTry]:
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
                yield CellTry((cell,), immediate=True)
        for start in range(0, len(ordered), _QUEUES):
            queues = ordered[start : start + _QUEUES]
            yield CellTry(queues, immediate=False)

    def note_wait(self, cell: Cell, rank: str, wait_s: float) -> None:
        """Remember how long a request waited at a cell."""
        self._seen[cell, rank] = _Seen(wait_s, self._clock())

    def note_refusal(self, request: Request) -> None:
        """Remember that all cells refused a request."""
        key = (request.workspace, request.rank)
        self._refused_s[key] = self._clock()

    def _refused_lately(self, request: Request) -> bool:
        key = (request.workspace, request.rank)
        refused_s = self._refused_s.get(key, -math.inf)
        return self._clock() - refused_s < _REFUSED_S

    def _wait_s(self, cell: Cell, rank: str) -> float:
        seen = self._seen.get((cell, rank))
        if seen is None:
            return 0
        age_s = self._clock() - seen.at_s
        return seen.wait_s * math.exp(-age_s / _FADING_S)


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
    fitting = sorted(cell for cell in cells if cell.model == model)
    return tuple(
        sorted(
            fitting,
            key=lambda cell: (
                int(waits.get(cell, 0) / _STEP_S),
                cell.failure_domain != failure_domain,
            ),
        ),
    )
