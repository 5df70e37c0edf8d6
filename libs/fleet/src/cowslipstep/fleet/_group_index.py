"""Groups that runners report, updated one runner at a time."""

from __future__ import annotations

from collections.abc import Mapping

from cowslipstep.fleet._reported_groups import (
    ReportedGroup,
    reported_groups,
)
from cowslipstep.fleet._runners import DiscoveredRunner, GroupId


class GroupIndex:
    """Groups by identity, as ``reported_groups`` returns them.

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
    >>> index.put(runner) == index.groups.keys() == {runner.group_id}
    True
    """

    def __init__(self) -> None:
        self._runners: dict[str, DiscoveredRunner] = {}
        self._groups: dict[GroupId, ReportedGroup] = {}
        # Groups of which two runners reported the same rank at some time.
        self._conflicting: set[GroupId] = set()

    @property
    def groups(self) -> Mapping[GroupId, ReportedGroup]:
        """The groups that runners report at present."""
        return self._groups

    def put(self, runner: DiscoveredRunner) -> set[GroupId]:
        """Set what a runner reports; return the groups that it affects."""
        affected = self.remove(runner.name)
        self._runners[runner.name] = runner
        position = runner.group_position
        group_id = runner.group_id
        if position is None or group_id is None:
            return affected
        members = self._groups.setdefault(
            group_id, ReportedGroup(group_id, {})
        ).members
        if position.rank in members:
            self._conflicting.add(group_id)
        members[position.rank] = runner
        return affected | {group_id}

    def remove(self, name: str) -> set[GroupId]:
        """Remove a runner; return the groups that it affects."""
        runner = self._runners.pop(name, None)
        group_id = runner.group_id if runner else None
        position = runner.group_position if runner else None
        if group_id is None or position is None:
            return set()
        if group_id in self._conflicting:
            # The other runner of the rank may have been replaced by this one.
            self._groups = reported_groups(self._runners.values())
            return {group_id}
        members = self._groups[group_id].members
        members.pop(position.rank)
        if not members:
            self._groups.pop(group_id)
        return {group_id}
