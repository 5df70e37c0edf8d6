"""Limits of tokens a second."""

from __future__ import annotations

from cowslipstep.routing._cell_slots import ONE_CELL
from cowslipstep.routing._token_share import (
    SplitLimit,
    TokenShare,
    open_share,
)
from cowslipstep.routing._usage_table import UsageTable
from cowslipstep.routing._views import Clock, WorkspaceShare


class TokenLimits:
    """Buckets of the workspaces that have a limit of tokens a second.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    elsewhere
        What other cells told.

    Attributes
    ----------
    cells
        Cells that share the limits.
    """

    def __init__(self, clock: Clock, elsewhere: UsageTable) -> None:
        self._clock = clock
        self._elsewhere = elsewhere
        self._shares: dict[str, TokenShare] = {}
        self.cells = ONE_CELL

    def delay_s(self, limits: WorkspaceShare) -> float:
        """Return after how many seconds to try again; zero if allowed."""
        if limits.tokens_per_s is None:
            return 0
        share = self._filled(limits.workspace, limits.tokens_per_s)
        return max(0, -share.level / share.per_s)

    def charge(self, limits: WorkspaceShare, tokens: float) -> None:
        """Charge tokens; a negative number gives back."""
        if limits.tokens_per_s is not None:
            share = self._filled(limits.workspace, limits.tokens_per_s)
            share.charge(tokens)

    def used_per_s(self, limits: WorkspaceShare) -> float:
        """Return the tokens a second that a workspace uses lately."""
        share = self._shares.get(limits.workspace)
        return 0 if share is None else share.rate.per_s(self._clock())

    def _filled(self, workspace: str, per_s: float) -> TokenShare:
        limit = SplitLimit(per_s, self.cells)
        now = self._clock()
        if workspace not in self._shares:
            self._shares[workspace] = open_share(limit, now)
        share = self._shares[workspace]
        uses = self._elsewhere.known(workspace, self.cells.cell)
        share.fill(limit, now, uses)
        return share
