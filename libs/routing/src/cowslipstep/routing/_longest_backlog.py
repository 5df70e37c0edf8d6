"""Which workspace has the most asks queued."""

from __future__ import annotations

import collections


class LongestBacklog:
    """Counts asks by workspace and knows the longest count in O(1).

    Counts change by one, so the longest one moves by one bucket at most.

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
        """A workspace with the most asks."""
        return next(iter(self._buckets[self._longest]))

    def add(self, workspace: str) -> None:
        """Count one ask more."""
        self._move(workspace, 1)
        self._longest = max(self._longest, self._counts[workspace])

    def remove(self, workspace: str) -> None:
        """Count one ask less."""
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
