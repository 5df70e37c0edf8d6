"""Slots of the cells that share the limits of workspaces."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from attrs import frozen

from cowslipstep.model import Cell


@frozen
class CellSlots:
    """A cell, and the numbers of slots of all cells of all models.

    Examples
    --------
    >>> one, two = Cell('m', 'a'), Cell('n', 'a')
    >>> CellSlots(one, {one: 20, two: 60}).share
    0.25
    >>> CellSlots(one, {one: 20, two: 60}).share_of_model(one)
    1.0
    """

    cell: Cell
    slots: Mapping[Cell, int]

    @property
    def share(self) -> float:
        """Share of this cell in the slots of all cells."""
        total = _total(self.slots, self.slots)
        return self.slots[self.cell] / max(1, total)

    @property
    def siblings(self) -> list[Cell]:
        """The cells of the same model, including this one."""
        return [cell for cell in self.slots if cell.model == self.cell.model]

    def share_of_model(self, cell: Cell) -> float:
        """Return the share of a cell in the slots of this cell's model."""
        total = _total(self.slots, self.siblings)
        return self.slots[cell] / max(1, total)


_UNNAMED_CELL = Cell('', '')
ONE_CELL = CellSlots(_UNNAMED_CELL, MappingProxyType({_UNNAMED_CELL: 1}))


def _total(slots: Mapping[Cell, int], cells: Iterable[Cell]) -> int:
    return sum(slots[cell] for cell in cells)
