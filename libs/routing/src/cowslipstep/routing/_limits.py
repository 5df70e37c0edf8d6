"""Limits of workspaces: tokens a second and requests in progress."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import evolve

from cowslipstep.model import CellUsage, SlotRequest, Workspace
from cowslipstep.routing._count_limits import CountLimits
from cowslipstep.routing._token_limits import TokenLimits
from cowslipstep.routing._usage_table import UsageTable
from cowslipstep.routing._views import (
    CellPolicy,
    Clock,
    SlotReplyCallback,
    WorkspaceShare,
)

_RETRY_S = 1


class WorkspaceLimits:
    """Checks asks against the limits of their workspaces.

    Limits are shared with other cells by what each of them told of its use.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, WorkspaceShare] = {}
        self._elsewhere = UsageTable(clock)
        self._tokens = TokenLimits(clock, self._elsewhere)
        self._counts = CountLimits(self._elsewhere)

    def apply(self, policy: CellPolicy) -> None:
        """Take over the limits."""
        self._limits = {share.workspace: share for share in policy.workspaces}
        self._tokens.cells = policy.cells
        self._counts.cells = policy.cells

    def delay_s(self, workspace: str) -> float:
        """Return after how many seconds to try again; zero if allowed."""
        limits = self._limits.get(workspace)
        if limits is None:
            return 0
        if self._counts.is_full(limits):
            return _RETRY_S
        return self._tokens.delay_s(limits)

    def begin(self, workspace: str, tokens: float) -> None:
        """Count a request in progress and its tokens."""
        self._counts.in_progress[workspace] += 1
        self.charge(workspace, tokens)

    def charge(self, workspace: str, tokens: float) -> None:
        """Charge tokens; a negative number gives back."""
        limits = self._limits.get(workspace)
        if limits is not None:
            self._tokens.charge(limits, tokens)

    def end(self, workspace: str) -> None:
        """Count a request in progress no more."""
        self._counts.in_progress[workspace] -= 1
        if not self._counts.in_progress[workspace]:
            self._counts.in_progress.pop(workspace)

    def reporting(
        self, ask: SlotRequest, reply: SlotReplyCallback
    ) -> SlotReplyCallback:
        """Note what an ask tells; add to its reply what is used here.

        Nothing is told of a workspace that has no limits. The rate is taken
        before the ask is charged: right after that it is above its mean.
        """
        limits = self._limits.get(ask.request.workspace)
        if limits is None or not _limited(limits):
            return reply
        for use in ask.usages:
            self._elsewhere.note(limits.workspace, use)
        asked_s = self._clock()
        per_s = self._tokens.used_per_s(limits)
        return lambda answer: reply(
            evolve(
                answer,
                usage=CellUsage(
                    ask.cell,
                    per_s,
                    self._counts.in_progress[limits.workspace],
                    self._clock() - asked_s,
                ),
            ),
        )


def read_limits(
    workspaces: Iterable[Workspace],
    sharing: int = 1,
) -> tuple[WorkspaceShare, ...]:
    """Return the weights and limits of workspaces.

    Parameters
    ----------
    workspaces
        As configured.
    sharing
        Number of dispatchers of each cell that share the limits evenly.

    Examples
    --------
    >>> read_limits([Workspace('grid-a', tokens_per_s=90)])[0].tokens_per_s
    90.0
    """
    return tuple(
        WorkspaceShare(
            workspace.name,
            workspace.weight,
            workspace.tokens_per_s / sharing or None,
            math.ceil(workspace.max_in_progress / sharing) or None,
        )
        for workspace in workspaces
    )


def _limited(limits: WorkspaceShare) -> bool:
    return not (limits.tokens_per_s is None and limits.max_in_progress is None)
