"""Limits of requests in progress."""

from __future__ import annotations

import collections

from cowslipstep.model import Cell
from cowslipstep.routing._cell_slots import ONE_CELL, CellSlots
from cowslipstep.routing._dispatcher_types import WorkspacePolicy
from cowslipstep.routing._rendezvous import rendezvous_order
from cowslipstep.routing._usage_table import UsageTable

_COUNT_LIFETIME_S = 2


class CountLimits:
    """Compares the requests in progress of workspaces with their limits.

    Parameters
    ----------
    other_cells
        Usage that other cells reported.

    Attributes
    ----------
    cells
        Cells that share the limits.
    in_progress
        Requests in progress at this cell, by workspace.
    """

    def __init__(self, other_cells: UsageTable) -> None:
        self._other_cells = other_cells
        self.cells = ONE_CELL
        self.in_progress: collections.Counter[str] = collections.Counter()

    def is_full(self, limits: WorkspacePolicy) -> bool:
        """Whether a workspace has reached its limit over all cells.

        A cell of this model without a recent report counts with its even
        share of the limit.
        """
        if limits.max_in_progress is None:
            return False
        used = _even_shares(limits, self.cells)
        used.update(self._reported_by_others(limits.workspace))
        used[self.cells.cell] = self.in_progress[limits.workspace]
        return sum(used.values()) >= limits.max_in_progress

    def _reported_by_others(self, workspace: str) -> dict[Cell, int]:
        usages = self._other_cells.of_other_cells(workspace, self.cells.cell)
        return {
            usage.cell: usage.in_progress
            for usage in usages
            if usage.age_s <= _COUNT_LIFETIME_S
        }


def _even_shares(limits: WorkspacePolicy, cells: CellSlots) -> dict[Cell, int]:
    """Divide the limit of a workspace evenly among the cells of a model.

    Shares are whole numbers; the remainder goes to the first cells in an
    order by hash of the workspace.
    """
    names = {str(cell): cell for cell in cells.siblings}
    even, rest = divmod(limits.max_in_progress or 0, len(names))
    shares = dict.fromkeys(cells.siblings, even)
    for name in rendezvous_order(limits.workspace, names)[:rest]:
        shares[names[name]] += 1
    return shares
