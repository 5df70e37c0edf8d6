"""Groups as their members report them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    GroupPosition,
    MemberState,
    ServingGroup,
)

GroupKey = tuple[str, int]
MembersByRank = Mapping[GroupKey, Mapping[int, DiscoveredRunner]]


@frozen
class ReportedGroup:
    """The runners that report the same group and epoch.

    Parameters
    ----------
    key
        Name and epoch.
    members
        Runners by rank.
    """

    key: GroupKey
    members: dict[int, DiscoveredRunner]

    @property
    def leader(self) -> DiscoveredRunner | None:
        """The member that leads, if it reports the group."""
        return self.members.get(0)

    @property
    def leader_state(self) -> MemberState | None:
        """State of the leading member in the group."""
        return _state(self.leader)

    @property
    def model(self) -> str:
        """The model that its members hold; empty while none has it."""
        for runner in self.members.values():
            if runner.loaded:
                return runner.loaded[0]
        return ''

    @property
    def names(self) -> frozenset[str]:
        """Names of the members that report the group."""
        return frozenset(runner.name for runner in self.members.values())

    @property
    def draining(self) -> bool:
        """Whether a member is about to leave."""
        return any(runner.draining for runner in self.members.values())

    def is_whole(self, size: int) -> bool:
        """Whether all members of a group of that size report it."""
        return all(rank in self.members for rank in range(size))

    def are_ready(self) -> bool:
        """Whether each member that reports the group is ready in it."""
        ready = (MemberState.ready, MemberState.open, MemberState.closing)
        return all(_state(runner) in ready for runner in self.members.values())


def reported_groups(
    runners: Iterable[DiscoveredRunner],
) -> dict[GroupKey, ReportedGroup]:
    """Return the groups that runners report."""
    found: dict[GroupKey, ReportedGroup] = {}
    for runner in runners:
        if runner.group_position is None:
            continue
        reported_group = found.setdefault(
            runner.group_position.key,
            ReportedGroup(runner.group_position.key, {}),
        )
        reported_group.members[runner.group_position.rank] = runner
    return found


def serving_groups(
    runners: Iterable[DiscoveredRunner],
    engine: EngineProfile,
    vanished: MembersByRank,
) -> tuple[ServingGroup, ...]:
    """Return the whole groups whose leader takes requests.

    Groups with a member that is about to leave are left out.

    Parameters
    ----------
    runners
        Runners that are registered.
    engine
        What their engines publish.
    vanished
        Members by rank that are registered no more and still answer.
    """
    groups = (
        _serving_group(
            reported_group,
            engine,
            {**vanished.get(key, {}), **reported_group.members},
        )
        for key, reported_group in reported_groups(runners).items()
    )
    return tuple(group for group in groups if group is not None)


def _serving_group(
    reported_group: ReportedGroup,
    engine: EngineProfile,
    members: Mapping[int, DiscoveredRunner],
) -> ServingGroup | None:
    model = engine.model(reported_group.model)
    if model is None or reported_group.leader_state is not MemberState.open:
        return None
    ranks = range(model.group_size)
    if reported_group.draining or not members.keys() >= set(ranks):
        return None
    listed = tuple(members[rank] for rank in ranks)
    return ServingGroup(*reported_group.key, model.name, listed)


def _state(runner: DiscoveredRunner | None) -> MemberState | None:
    group_position: GroupPosition | None = (
        runner.group_position if runner else None
    )
    return group_position.state if group_position else None
