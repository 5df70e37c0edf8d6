"""Recent changes of the owners of cells, as recorded by an entry daemon."""

from __future__ import annotations

from typing import Generic, TypeVar

from attrs import frozen

from cowslipstep.model import Cell
from cowslipstep.routing._dispatcher_types import Clock
from cowslipstep.routing._grant_table import GRANT_VALID_S

Owner = TypeVar('Owner')


@frozen
class _Change(Generic[Owner]):
    """The present owner, the former one, and when the change was recorded."""

    present: Owner
    former: Owner | None
    at_s: float


class OwnerHistory(Generic[Owner]):
    """Former owners of cells, kept for as long as a grant is valid.

    Explanation
    -----------
    The owner of a cell runs its dispatcher. Other daemons may notice a new
    owner later. Until then they request slots from the former one, which
    therefore must receive the renewals and releases of the new one's grants;
    otherwise it would grant slots that are in use.

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
        """Record the owner to which slot requests are sent now."""
        last = self._changes.get(cell)
        if last is not None and last.present == present:
            return
        former = None if last is None else last.present
        self._changes[cell] = _Change(present, former, self._clock())

    def former_owner(self, cell: Cell) -> Owner | None:
        """Return the owner before the present one, if it changed lately."""
        change = self._changes.get(cell)
        if change is None or self._clock() - change.at_s > GRANT_VALID_S:
            return None
        return change.former
