"""Limits of workspaces: tokens a second and requests in progress."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping

from attrs import define

from cowslipstep.model import Cell, Workspace
from cowslipstep.routing._ownership import rank_owners
from cowslipstep.routing._views import Clock, WorkspaceShare

_BURST_S = 1


@define
class _Bucket:
    """Tokens that a workspace may still use; negative after a large ask."""

    level: float
    filled_at_s: float

    def fill(self, per_s: float, now_s: float) -> None:
        """Add what has come in since the last call."""
        gained = per_s * (now_s - self.filled_at_s)
        self.level = min(self.level + gained, per_s * _BURST_S)
        self.filled_at_s = now_s


class WorkspaceLimits:
    """Checks asks against the limits of their workspaces.

    Parameters
    ----------
    clock
        Monotonic clock, seconds.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._shares: dict[str, WorkspaceShare] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._in_progress: collections.Counter[str] = collections.Counter()

    def apply_shares(self, shares: Iterable[WorkspaceShare]) -> None:
        """Take over the limits."""
        self._shares = {share.workspace: share for share in shares}

    def delay_s(self, workspace: str) -> float:
        """Return after how many seconds to try again; zero if allowed."""
        share = self._shares.get(workspace, WorkspaceShare(workspace))
        most = share.max_in_progress
        if most is not None and self._in_progress[workspace] >= most:
            return _BURST_S
        if share.tokens_per_s is None:
            return 0
        bucket = self._bucket(workspace, share.tokens_per_s)
        return max(0, -bucket.level / share.tokens_per_s)

    def begin(self, workspace: str, tokens: float) -> None:
        """Count a request in progress and its tokens."""
        self._in_progress[workspace] += 1
        self.charge(workspace, tokens)

    def charge(self, workspace: str, tokens: float) -> None:
        """Charge tokens; a negative number gives back."""
        share = self._shares.get(workspace)
        if share is not None and share.tokens_per_s is not None:
            bucket = self._bucket(workspace, share.tokens_per_s)
            bucket.level -= tokens

    def end(self, workspace: str) -> None:
        """Count a request in progress no more."""
        self._in_progress[workspace] -= 1
        if not self._in_progress[workspace]:
            self._in_progress.pop(workspace)

    def _bucket(self, workspace: str, per_s: float) -> _Bucket:
        now = self._clock()
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = _Bucket(per_s * _BURST_S, now)
            self._buckets[workspace] = bucket
        bucket.fill(per_s, now)
        return bucket


def share_limits(
    workspaces: Iterable[Workspace],
    cell: Cell,
    slots: Mapping[Cell, int],
) -> tuple[WorkspaceShare, ...]:
    """Give a cell its share of the limits of workspaces.

    Explanation
    -----------
    Tokens a second are split by slots. Requests in progress are whole: each
    cell gets the same number, and the rest goes to the first cells by hash
    of the workspace. The shares add up to the limit exactly.

    Examples
    --------
    >>> one, two = Cell('m', 'a'), Cell('m', 'b')
    >>> limited = Workspace('grid-a', tokens_per_s=90, max_in_progress=3)
    >>> slots = {one: 20, two: 10}
    >>> share_limits([limited], one, slots)[0].tokens_per_s
    60.0
    >>> sum(
    ...     share_limits([limited], cell, slots)[0].max_in_progress
    ...     for cell in slots
    ... )
    3
    """
    share = slots[cell] / max(1, sum(slots.values()))
    names = [str(known) for known in slots]
    return tuple(
        WorkspaceShare(
            workspace.name,
            workspace.weight,
            workspace.tokens_per_s * share or None,
            _whole_share(workspace, str(cell), names),
        )
        for workspace in workspaces
    )


def _whole_share(
    workspace: Workspace,
    cell: str,
    cells: list[str],
) -> int | None:
    if not workspace.max_in_progress:
        return None
    order = rank_owners(workspace.name, cells)
    even, rest = divmod(workspace.max_in_progress, len(cells))
    return even + (order.index(cell) < rest)
