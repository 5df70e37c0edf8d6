"""Finds the workspace with the most slot requests in a queue."""

from __future__ import annotations

import collections


class LongestBacklog:
    """Counts slot requests by workspace and finds the largest count in O(1).

    Workspaces are kept in buckets by their count. A count changes by one at
    a time, so the largest one moves by one bucket at most.

    Examples
    --------
    >>> longest = LongestBacklog()
    >>> for workspace in ('a', 'b', 'b'):
    ...     longest.add(workspace)
    >>> longest.workspace
    'b'
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._buckets: dict[int, dict[str, None]] = {}
        self._longest = 0

    @property
    def workspace(self) -> str:
        """A workspace with the most slot requests."""
        return next(iter(self._buckets[self._longest]))

    def add(self, workspace: str) -> None:
        """Count one more slot request of a workspace."""
        self._move(workspace, 1)
        self._longest = max(self._longest, self._counts[workspace])

    def remove(self, workspace: str) -> None:
        """Count one slot request less of a workspace."""
        self._move(workspace, -1)
        if self._longest not in self._buckets:
            self._longest -= 1

    def _move(self, workspace: str, step: int) -> None:
        count = self._counts.pop(workspace, 0)
        bucket = self._buckets.get(count, {})
        bucket.pop(workspace, None)
        if not bucket:
            self._buckets.pop(count, None)
        if count + step:
            self._counts[workspace] = count + step
            self._buckets.setdefault(count + step, {})[workspace] = None
