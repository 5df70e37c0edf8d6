"""Limits of tokens a second."""

from __future__ import annotations

from cowslipstep.routing._cell_slots import ONE_CELL
from cowslipstep.routing._dispatcher_types import Clock, WorkspacePolicy
from cowslipstep.routing._token_share import (
    SharedLimit,
    TokenShare,
    new_share,
)
from cowslipstep.routing._usage_table import UsageTable


class TokenLimits:
    """Token buckets of the workspaces that have a limit of tokens a second.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    other_cells
        Usage that other cells reported.

    Attributes
    ----------
    cells
        Cells that share the limits.
    """

    def __init__(self, clock: Clock, other_cells: UsageTable) -> None:
        self._clock = clock
        self._other_cells = other_cells
        self._shares: dict[str, TokenShare] = {}
        self.cells = ONE_CELL

    def delay_s(self, limits: WorkspacePolicy) -> float:
        """Return the seconds until a request may begin; zero if it may now."""
        if limits.tokens_per_s is None:
            return 0
        share = self._filled(limits.workspace, limits.tokens_per_s)
        return max(0, -share.level / share.per_s)

    def charge(self, limits: WorkspacePolicy, tokens: float) -> None:
        """Charge tokens; a negative number credits them."""
        if limits.tokens_per_s is not None:
            share = self._filled(limits.workspace, limits.tokens_per_s)
            share.charge(tokens)

    def used_per_s(self, limits: WorkspacePolicy) -> float:
        """Return the tokens a second that a workspace used here lately."""
        share = self._shares.get(limits.workspace)
        return 0 if share is None else share.rate.per_s(self._clock())

    def _filled(self, workspace: str, per_s: float) -> TokenShare:
        limit = SharedLimit(per_s, self.cells)
        now = self._clock()
        if workspace not in self._shares:
            self._shares[workspace] = new_share(limit, now)
        share = self._shares[workspace]
        usages = self._other_cells.of_other_cells(workspace, self.cells.cell)
        share.fill(limit, now, usages)
        return share
