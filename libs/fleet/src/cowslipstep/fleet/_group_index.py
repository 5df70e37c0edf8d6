"""Groups that runners report, updated one runner at a time."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipstep.fleet._reported_groups import (
    GroupKey,
    ReportedGroup,
    reported_groups,
)
from cowslipstep.fleet._runners import DiscoveredRunner


class GroupIndex:
    """Groups by name and epoch, as ``reported_groups`` returns them.

    An update costs the same whatever the number of runners.

    Examples
    --------
    >>> from cowslipstep.fleet import GroupPosition, MemberState
    >>> from cowslipstep.model import Address
    >>> position = GroupPosition('g', 1, 0, MemberState.open)
    >>> address = Address('127.0.0.1', 1)
    >>> runner = DiscoveredRunner(
    ...     'r', 's', address, 'n', 1, group_position=position
    ... )
    >>> index = GroupIndex()
    >>> index.put(runner), list(index.groups)
    ({('g', 1)}, [('g', 1)])
    """

    def __init__(self) -> None:
        self._runners: dict[str, DiscoveredRunner] = {}
        self._groups: dict[GroupKey, ReportedGroup] = {}
        # Groups of which two runners reported the same rank at some time.
        self._conflicting: set[GroupKey] = set()

    @property
    def groups(self) -> Mapping[GroupKey, ReportedGroup]:
        """The groups that runners report at present."""
        return self._groups

    def put(self, runner: DiscoveredRunner) -> set[GroupKey]:
        """Set what a runner reports; return the groups that it affects."""
        affected = self.remove(runner.name)
        self._runners[runner.name] = runner
        position = runner.group_position
        if position is None:
            return affected
        members = self._groups.setdefault(
            position.key, ReportedGroup(position.key, {})
        ).members
        if position.rank in members:
            self._conflicting.add(position.key)
        members[position.rank] = runner
        return affected | {position.key}

    def remove(self, name: str) -> set[GroupKey]:
        """Remove a runner; return the groups that it affects."""
        runner = self._runners.pop(name, None)
        if runner is None or runner.group_position is None:
            return set()
        key = runner.group_position.key
        if key in self._conflicting:
            # The other runner of the rank may have been replaced by this one.
            self._groups = reported_groups(self._runners.values())
            return {key}
        members = self._groups[key].members
        members.pop(runner.group_position.rank)
        if not members:
            self._groups.pop(key)
        return {key}
