"""Registered runners, and the groups that they report."""

from __future__ import annotations

import enum

from attrs import field, frozen

from cowslipstep.model import Address


class MemberState(enum.StrEnum):
    """State of a runner within its group; only leaders are open or closing.

    Attributes
    ----------
    joining
        It joins the group, and loads the weights if it has to.
    ready
        It has joined; a leader in this state accepts no requests.
    open
        It accepts requests.
    closing
        It accepts no more requests and finishes those that run.
    broken
        It serves no requests any more, since the group made no progress.
    """

    joining = 'joining'
    ready = 'ready'
    open = 'open'
    closing = 'closing'
    broken = 'broken'


@frozen
class GroupId:
    """Identity of a group.

    Runners name a group and an epoch. Both are unique within a service only:
    each service has groups of its own.

    Parameters
    ----------
    service
        Service of its members.
    name
        Name that its members report.
    epoch
        Number that the planner gave the group.
    """

    service: str
    name: str
    epoch: int


@frozen
class GroupPosition:
    """Membership of a runner in a group.

    Parameters
    ----------
    group
        Name of the group.
    epoch
        Number that the planner gave the group; larger than those of all groups
        that were formed before.
    rank
        Position among the members; the member of rank 0 is the leader.
    state
        State of the runner in the group.
    """

    group: str
    epoch: int
    rank: int
    state: MemberState


@frozen
class DiscoveredRunner:
    """A runner that has registered itself.

    Parameters
    ----------
    name
        Name of the runner; a runner that restarts gets another one.
    service
        Service that the runner belongs to.
    address
        Address on which the runner listens.
    failure_domain
        Failure domain of its host.
    slots
        Requests that the runner runs at once.
    draining
        Whether the runner is about to stop.
    fabric_domain
        Fabric domain of its host; empty for none.
    loaded_models
        Models that the runner has loaded.
    staged_models
        Models whose weights are staged on its host.
    group_position
        Membership in a group; ``None`` without one.
    cold_s
        Time for which the runner stays cold, seconds, when its entry was
        written; ``None`` if that is not known.
    """

    name: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool = False
    fabric_domain: str = ''
    loaded_models: tuple[str, ...] = ()
    staged_models: tuple[str, ...] = ()
    group_position: GroupPosition | None = None
    cold_s: float | None = None

    @property
    def group_id(self) -> GroupId | None:
        """Identity of the group that the runner reports, if it reports one."""
        position = self.group_position
        if position is None:
            return None
        return GroupId(self.service, position.group, position.epoch)


@frozen
class ServingGroup:
    """A group of runners that serves requests through its leader."""

    group_id: GroupId
    model: str
    members: tuple[DiscoveredRunner, ...] = field()

    @property
    def leader(self) -> DiscoveredRunner:
        """The first member, which receives the requests."""
        return self.members[0]

    @property
    def failure_domains(self) -> frozenset[str]:
        """Failure domains of its members."""
        return frozenset(member.failure_domain for member in self.members)
