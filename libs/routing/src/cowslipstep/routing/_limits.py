"""Limits of workspaces: rate of tokens, and requests in progress."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import evolve

from cowslipstep.model import CellUsage, SlotRequest, Workspace
from cowslipstep.routing._count_limits import CountLimits
from cowslipstep.routing._dispatcher_types import (
    CellPolicy,
    Clock,
    SlotReplyCallback,
    WorkspacePolicy,
)
from cowslipstep.routing._token_limits import TokenLimits
from cowslipstep.routing._usage_table import UsageTable

_IN_PROGRESS_RETRY_S = 1


class WorkspaceLimits:
    """Checks slot requests against the limits of their workspaces.

    A limit holds over all cells; each cell subtracts the usage that the
    others report.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, WorkspacePolicy] = {}
        self._other_cells = UsageTable(clock)
        self._tokens = TokenLimits(clock, self._other_cells)
        self._counts = CountLimits(self._other_cells)

    def apply(self, policy: CellPolicy) -> None:
        """Apply the limits of a policy."""
        self._limits = {
            limits.workspace: limits for limits in policy.workspaces
        }
        self._tokens.cells = policy.cells
        self._counts.cells = policy.cells

    def delay_s(self, workspace: str) -> float:
        """Return the seconds until a request may begin; zero if it may now."""
        limits = self._limits.get(workspace)
        if limits is None:
            return 0
        if self._counts.is_full(limits):
            return _IN_PROGRESS_RETRY_S
        return self._tokens.delay_s(limits)

    def begin(self, workspace: str, tokens: float) -> None:
        """Count a request as in progress and charge its tokens."""
        self._counts.in_progress[workspace] += 1
        self.charge(workspace, tokens)

    def charge(self, workspace: str, tokens: float) -> None:
        """Charge tokens; a negative number credits them."""
        limits = self._limits.get(workspace)
        if limits is not None:
            self._tokens.charge(limits, tokens)

    def end(self, workspace: str) -> None:
        """Count a request as no longer in progress."""
        self._counts.in_progress[workspace] -= 1
        if not self._counts.in_progress[workspace]:
            self._counts.in_progress.pop(workspace)

    def exchange_usage(
        self, slot_request: SlotRequest, reply: SlotReplyCallback
    ) -> SlotReplyCallback:
        """Record the usages in a slot request; add this cell's to the reply.

        The reply of a workspace without limits has no usage. The rate is
        measured before the slot request is charged, since right after a
        charge it exceeds its mean.
        """
        limits = self._limits.get(slot_request.request.workspace)
        if limits is None or not _has_limits(limits):
            return reply
        for usage in slot_request.usages:
            self._other_cells.record(limits.workspace, usage)
        measured_s = self._clock()
        per_s = self._tokens.used_per_s(limits)
        return lambda slot_reply: reply(
            evolve(
                slot_reply,
                usage=CellUsage(
                    slot_request.cell,
                    per_s,
                    self._counts.in_progress[limits.workspace],
                    self._clock() - measured_s,
                ),
            ),
        )


def workspace_policies(
    workspaces: Iterable[Workspace],
    dispatchers_per_cell: int = 1,
) -> tuple[WorkspacePolicy, ...]:
    """Return the weights and limits of workspaces for one dispatcher.

    Parameters
    ----------
    workspaces
        Workspaces of the configuration.
    dispatchers_per_cell
        Number of dispatchers of each cell that share the limits evenly.

    Examples
    --------
    >>> policies = workspace_policies([Workspace('grid-a', tokens_per_s=90)])
    >>> policies[0].tokens_per_s
    90.0
    """
    return tuple(
        WorkspacePolicy(
            workspace.name,
            workspace.weight,
            workspace.tokens_per_s / dispatchers_per_cell or None,
            math.ceil(workspace.max_in_progress / dispatchers_per_cell) or None,
        )
        for workspace in workspaces
    )


def _has_limits(limits: WorkspacePolicy) -> bool:
    return not (limits.tokens_per_s is None and limits.max_in_progress is None)
