"""Limits of requests in progress."""

from __future__ import annotations

import collections

from cowslipstep.model import Cell
from cowslipstep.routing._cell_slots import ONE_CELL, CellSlots
from cowslipstep.routing._rendezvous import rendezvous_order
from cowslipstep.routing._usage_table import UsageTable
from cowslipstep.routing._views import WorkspaceShare

_KNOWN_S = 2


class CountLimits:
    """Counts the requests in progress of workspaces against their limits.

    Parameters
    ----------
    elsewhere
        What other cells told.

    Attributes
    ----------
    cells
        Cells that share the limits.
    in_progress
        Requests in progress at this cell, by workspace.
    """

    def __init__(self, elsewhere: UsageTable) -> None:
        self._elsewhere = elsewhere
        self.cells = ONE_CELL
        self.in_progress: collections.Counter[str] = collections.Counter()

    def is_full(self, limits: WorkspaceShare) -> bool:
        """Whether a workspace has as many as it may, over all cells.

        A cell of this model that told nothing lately counts with its even
        share.
        """
        if limits.max_in_progress is None:
            return False
        used = _even_shares(limits, self.cells)
        used.update(self._told(limits.workspace))
        used[self.cells.cell] = self.in_progress[limits.workspace]
        return sum(used.values()) >= limits.max_in_progress

    def _told(self, workspace: str) -> dict[Cell, int]:
        uses = self._elsewhere.known(workspace, self.cells.cell)
        return {
            use.cell: use.in_progress for use in uses if use.age_s <= _KNOWN_S
        }


def _even_shares(limits: WorkspaceShare, cells: CellSlots) -> dict[Cell, int]:
    """Return the same whole number for each cell of a model.

    The rest goes to the first cells by hash of the workspace.
    """
    names = {str(cell): cell for cell in cells.siblings}
    even, rest = divmod(limits.max_in_progress or 0, len(names))
    shares = dict.fromkeys(cells.siblings, even)
    for name in rendezvous_order(limits.workspace, names)[:rest]:
        shares[names[name]] += 1
    return shares
