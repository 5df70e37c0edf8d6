"""Groups as their members report them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from attrs import frozen

from cowslipstep.fleet._engines import EngineProfile
from cowslipstep.fleet._runners import (
    DiscoveredRunner,
    GroupId,
    GroupPosition,
    MemberState,
    ServingGroup,
)

MembersByRank = Mapping[GroupId, Mapping[int, DiscoveredRunner]]


@frozen
class ReportedGroup:
    """The runners that report the same group.

    Parameters
    ----------
    key
        Identity of the group.
    members
        Runners that report the group, by rank.
    """

    key: GroupId
    members: dict[int, DiscoveredRunner]

    @property
    def leader(self) -> DiscoveredRunner | None:
        """The member of rank 0, if it reports the group."""
        return self.members.get(0)

    @property
    def leader_state(self) -> MemberState | None:
        """State of the leader in the group; ``None`` without a leader."""
        return _state(self.leader)

    @property
    def model(self) -> str:
        """The model that its members have loaded; empty if none has."""
        for runner in self.members.values():
            if runner.loaded_models:
                return runner.loaded_models[0]
        return ''

    @property
    def member_names(self) -> frozenset[str]:
        """Names of the members that report the group."""
        return frozenset(runner.name for runner in self.members.values())

    @property
    def draining(self) -> bool:
        """Whether some member is draining."""
        return any(runner.draining for runner in self.members.values())

    def has_all_members(self, size: int) -> bool:
        """Return whether all members of a group of that size report it."""
        return all(rank in self.members for rank in range(size))

    def all_ready(self) -> bool:
        """Return whether each member that reports the group is ready in it."""
        ready = (MemberState.ready, MemberState.open, MemberState.closing)
        return all(_state(runner) in ready for runner in self.members.values())


def reported_groups(
    runners: Iterable[DiscoveredRunner],
) -> dict[GroupId, ReportedGroup]:
    """Return the groups that runners report, by identity."""
    reported: dict[GroupId, ReportedGroup] = {}
    for runner in runners:
        group_id = runner.group_id
        if group_id is None or runner.group_position is None:
            continue
        reported_group = reported.setdefault(
            group_id, ReportedGroup(group_id, {})
        )
        reported_group.members[runner.group_position.rank] = runner
    return reported


def superseded_groups(
    reported: Mapping[GroupId, ReportedGroup], last_epochs: Mapping[str, int]
) -> frozenset[GroupId]:
    """Return the groups of which a member was sent to a later one.

    Parameters
    ----------
    reported
        Groups that runners report.
    last_epochs
        Number of the last group that each runner was commanded to join.
    """
    return frozenset(
        key
        for key, reported_group in reported.items()
        for name in reported_group.member_names
        if last_epochs.get(name, 0) > key.epoch
    )


def serving_group(
    reported_group: ReportedGroup,
    engine: EngineProfile,
    reachable_unregistered: Mapping[int, DiscoveredRunner],
) -> ServingGroup | None:
    """Return a group if it is complete and its leader accepts requests.

    ``None`` also if a member is draining.

    Parameters
    ----------
    reported_group
        Runners that report the group.
    engine
        Times and limits that their engines publish.
    reachable_unregistered
        Members by rank that are no longer registered but still answer; they
        count as members of the group.
    """
    model = engine.model(reported_group.model)
    if model is None or reported_group.leader_state is not MemberState.open:
        return None
    members = {**reachable_unregistered, **reported_group.members}
    ranks = range(model.group_size)
    if reported_group.draining or not members.keys() >= set(ranks):
        return None
    members_by_rank = tuple(members[rank] for rank in ranks)
    return ServingGroup(reported_group.key, model.name, members_by_rank)


def _state(runner: DiscoveredRunner | None) -> MemberState | None:
    group_position: GroupPosition | None = (
        runner.group_position if runner else None
    )
    return group_position.state if group_position else None
