"""Changes of the owners of cells, as an entry daemon sees them."""

from __future__ import annotations

from typing import Generic, TypeVar

from attrs import frozen

from cowslipstep.model import Cell
from cowslipstep.routing._dispatcher_types import Clock
from cowslipstep.routing._grant_table import GRANT_VALID_S

Owner = TypeVar('Owner')


@frozen
class _Change(Generic[Owner]):
    """The present owner, the one before it, and when it changed."""

    present: Owner
    former: Owner | None
    at_s: float


class OwnerHistory(Generic[Owner]):
    """Remembers the former owners of cells for as long as grants last.

    Explanation
    -----------
    Other daemons may learn of a new owner later. Until then the former one
    goes on granting, so it must be told of the grants of the new one.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.

    Examples
    --------
    >>> history = OwnerHistory(lambda: 0)
    >>> cell = Cell('m', 'a')
    >>> history.record_owner(cell, 'd1')
    >>> history.record_owner(cell, 'd2')
    >>> history.former_owner(cell)
    'd1'
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changes: dict[Cell, _Change[Owner]] = {}

    def record_owner(self, cell: Cell, present: Owner) -> None:
        """Note the owner that is asked now."""
        known = self._changes.get(cell)
        if known is not None and known.present == present:
            return
        former = None if known is None else known.present
        self._changes[cell] = _Change(present, former, self._clock())

    def former_owner(self, cell: Cell) -> Owner | None:
        """Return the owner before this one, if that changed lately."""
        change = self._changes.get(cell)
        if change is None or self._clock() - change.at_s > GRANT_VALID_S:
            return None
        return change.former
